//! What this host knows of a caller's connection, for its log and metrics: the last request,
//! how far its response got, and what ended the connection.

use {
    super::{Gateway, view::lock},
    crate::{clock::millis, collections::Name, transport::leaf::enlarge_send_buffer},
    hyper::{Request, StatusCode, body::Incoming},
    slog::info,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, copy, sink},
        net::TcpStream,
        time::timeout,
    },
};

/// Time for which a caller may go on sending after its last response.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Most bytes that are read after the last response.
const MAX_LINGER_BYTES: u64 = 256 << 10;

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The caller closed it between two requests, or either side after a response.
    Closed,
    /// This host closed it between two requests, as it stops.
    Idle,
    /// The caller closed it before the response.
    CallerLeft,
    /// The caller sent no whole head in time.
    HeadTimeout,
    /// The caller sent something that is no request.
    Malformed,
    /// Reading or writing failed.
    Broken,
    /// This host reached the end of its stop time.
    HostEnded,
    /// Its task panicked or was dropped.
    Aborted,
}

impl End {
    /// Returns the end of a connection of which hyper returned `result`.
    #[must_use]
    pub fn of(result: &hyper::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Closed,
            Err(error) if error.is_incomplete_message() => Self::CallerLeft,
            Err(error) if error.is_timeout() => Self::HeadTimeout,
            Err(error) if error.is_parse() => Self::Malformed,
            Err(_) => Self::Broken,
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Idle => "idle",
            Self::CallerLeft => "caller_left",
            Self::HeadTimeout => "head_timeout",
            Self::Malformed => "malformed",
            Self::Broken => "broken",
            Self::HostEnded => "host_ended",
            Self::Aborted => "aborted",
        }
    }

    /// Returns whether the end follows a response, which may still be on its way.
    #[must_use]
    pub fn follows_response(self) -> bool {
        matches!(self, Self::Closed | Self::Malformed)
    }
}

/// How far the last request of a connection got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There was no request.
    Unused,
    /// The head was read; there is no response yet.
    Handling,
    /// The response is decided, and not written as a whole.
    Responding,
    /// The whole response was written to the socket.
    Answered,
}

impl Stage {
    /// Returns whether no request is being handled.
    fn is_settled(self) -> bool {
        matches!(self, Self::Unused | Self::Answered)
    }

    fn name(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::Handling => "handling",
            Self::Responding => "responding",
            Self::Answered => "answered",
        }
    }
}

struct Progress {
    stage: Stage,
    /// Requests so far.
    requests: u64,
    /// Id of the last request.
    id: Name,
    read_at: Instant,
    status: Option<StatusCode>,
    /// Whether bytes were read after the last request and its response.
    is_next_begun: bool,
    /// Bytes written since the last request was read.
    written: usize,
}

/// Record of one connection, kept by its listener.
pub struct ConnectionRecord {
    gateway: Arc<Gateway>,
    /// Listener that accepted it.
    listener: &'static str,
    progress: Mutex<Progress>,
}

impl ConnectionRecord {
    /// Returns the record of a connection that `listener` has accepted.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, listener: &'static str) -> Self {
        Self {
            gateway,
            listener,
            progress: Mutex::new(Progress {
                stage: Stage::Unused,
                requests: 0,
                id: Name::default(),
                read_at: Instant::now(),
                status: None,
                is_next_begun: false,
                written: 0,
            }),
        }
    }

    /// Records that the head of `request` was read.
    pub fn record_request(&self, request: &Request<Incoming>) {
        let id = request.headers().get(&self.gateway.dialect.request_id);
        let mut progress = lock(&self.progress);
        progress.stage = Stage::Handling;
        progress.requests += 1;
        progress.id = id
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .into();
        progress.read_at = Instant::now();
        progress.status = None;
        progress.is_next_begun = false;
        progress.written = 0;
    }

    /// Records that the response is decided.
    pub fn record_response(&self, status: StatusCode) {
        let mut progress = lock(&self.progress);
        progress.stage = Stage::Responding;
        progress.status = Some(status);
    }

    /// Returns whether no request is being handled and no part of the next one was read.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let progress = lock(&self.progress);
        progress.stage.is_settled() && !progress.is_next_begun
    }

    /// Returns whether a part of the next request was read.
    #[must_use]
    pub fn is_next_begun(&self) -> bool {
        lock(&self.progress).is_next_begun
    }

    fn record_read(&self) {
        let mut progress = lock(&self.progress);
        progress.is_next_begun = progress.stage.is_settled();
    }

    fn record_written(&self, bytes: usize) {
        lock(&self.progress).written += bytes;
    }

    /// Records that nothing is left to be written.
    fn record_flush(&self) {
        let mut progress = lock(&self.progress);
        if progress.stage == Stage::Responding && progress.written > 0 {
            progress.stage = Stage::Answered;
        }
    }

    /// Logs and counts the end of the connection if a request got no whole response; logs it
    /// also while the host is stopping.
    fn record_end(&self, end: End) {
        let progress = lock(&self.progress);
        let is_answered = progress.stage.is_settled();
        if !is_answered {
            self.gateway.metrics.record_unanswered(end);
        }
        let stopping = self.gateway.stopping_time();
        if is_answered && stopping.is_none() {
            return;
        }
        info!(self.gateway.log, "listener: connection ended"; "request" => &*progress.id,
            "listener" => self.listener, "requests" => progress.requests, "cause" => end.name(),
            "stage" => progress.stage.name(),
            "status" => progress.status.map(|status| status.as_u16()),
            "written_bytes" => progress.written, "read_before_ms" => millis(progress.read_at.elapsed()),
            "stopping_ms" => stopping.map(millis));
    }
}

/// Records the end of a connection when it is dropped.
pub struct EndGuard {
    record: Arc<ConnectionRecord>,
    end: End,
}

impl EndGuard {
    /// Returns a guard for the connection of `record`.
    #[must_use]
    pub fn new(record: Arc<ConnectionRecord>) -> Self {
        Self {
            record,
            end: End::Aborted,
        }
    }

    /// Records that `end` ended the connection.
    pub fn finish(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.record.record_end(self.end);
    }
}

/// A caller's socket that records what is written to it. While the host is stopping, the kernel
/// takes more of a response than the caller reads: it goes on sending after the process has ended.
pub struct RecordedStream {
    stream: TcpStream,
    record: Arc<ConnectionRecord>,
    /// Whether the send buffer was enlarged.
    is_enlarged: bool,
}

impl RecordedStream {
    /// Returns `stream`, with what is written recorded in `record`.
    #[must_use]
    pub fn new(stream: TcpStream, record: Arc<ConnectionRecord>) -> Self {
        Self {
            stream,
            record,
            is_enlarged: false,
        }
    }

    /// Ends this side of the connection and drops what the caller still sends, until it ends
    /// its side. If bytes of the caller are unread at the close or arrive after it, the
    /// connection is reset, and what hasn't arrived of the response is lost.
    pub async fn linger(mut self) {
        if self.stream.shutdown().await.is_ok() {
            let mut rest = self.stream.take(MAX_LINGER_BYTES);
            // How the caller ends it no longer matters.
            let _ = timeout(LINGER_TIME, copy(&mut rest, &mut sink())).await;
        }
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => self.record.record_written(*bytes),
            // The kernel reports the space that this makes, so the write is tried again.
            Poll::Pending if !self.is_enlarged && self.record.gateway.is_stopping() => {
                self.is_enlarged = true;
                // If it fails, the caller gets what it reads until the end of the stop.
                let _ = enlarge_send_buffer(&self.stream);
            }
            Poll::Ready(Err(_)) | Poll::Pending => {}
        }
        written
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.record.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // Hyper flushes the stream only once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.record.record_flush();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
