//! Connections of the HTTP/1 servers, and how they end: requests that have arrived get their
//! responses, and responses arrive whole.

use {
    super::intake::{Hold, Reservation},
    crate::policy::caller_memory::Phase,
    bytes::{Buf, Bytes},
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        server::conn::http1,
        service::Service,
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        convert::Infallible,
        future::Future,
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, copy, sink},
        net::TcpStream,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Time for which a connection is still read after the stop, before it is closed as idle: a
/// request that has already arrived must be served.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Time for the rest of a head of which a part has arrived when idle connections are closed.
const LAST_HEAD_TIME: Duration = Duration::from_secs(2);

/// Time for which a client may go on sending after its last response.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Most bytes that are read after the last response.
const MAX_LINGER_BYTES: u64 = 256 << 10;

/// Time in which a caller that is dropped gets the refusal of its request.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Bytes of a head, and of an answer, that are not counted: a connection has these buffers anyway.
const FREE_BUFFER_BYTES: usize = 8 << 10;

/// Most bytes of a request that a connection buffers.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Send buffer of a socket: the largest that Linux allows by default (`wmem_max`). The kernel
/// doubles it for its own data.
const SEND_BUFFER_BYTES: usize = 208 << 10;

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The client closed it between two requests, or either side after a response.
    Closed,
    /// This host closed it between two requests, as it stops.
    Idle,
    /// The client closed it before the response.
    CallerLeft,
    /// The client sent no whole head in time.
    HeadTimeout,
    /// The client sent something that is no request.
    Malformed,
    /// Reading or writing failed.
    Broken,
    /// Callers held too much memory or too many connections together, and this one made room.
    MadeRoom,
    /// This host reached the end of its stop time.
    HostEnded,
    /// Its task panicked or was dropped.
    Aborted,
}

impl End {
    fn of(result: &hyper::Result<()>) -> Self {
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
            Self::MadeRoom => "made_room",
            Self::HostEnded => "host_ended",
            Self::Aborted => "aborted",
        }
    }

    /// Returns whether the end follows a response, which may still be on its way.
    fn follows_response(self) -> bool {
        matches!(self, Self::Closed | Self::Malformed)
    }
}

/// How far the last request of a connection got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// There was no request.
    #[default]
    Unused,
    /// The head was read; there is no response yet.
    Handling,
    /// The response is decided, and not written as a whole.
    Responding,
    /// The whole response was written to the socket.
    Answered,
}

impl Stage {
    /// Returns whether no request waits for its response.
    #[must_use]
    pub fn is_settled(self) -> bool {
        matches!(self, Self::Unused | Self::Answered)
    }

    /// Returns the name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::Handling => "handling",
            Self::Responding => "responding",
            Self::Answered => "answered",
        }
    }
}

/// How far the last request of a connection got, and the bytes written since it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// How far it got.
    pub stage: Stage,
    /// Bytes written since then.
    pub written: usize,
}

/// Progress of a connection, which its service and its socket record.
#[derive(Debug, Default)]
pub struct Activity(Mutex<Progress>);

impl Activity {
    /// Returns the progress so far.
    #[must_use]
    pub fn progress(&self) -> Progress {
        *self.lock()
    }

    fn record_request(&self) {
        *self.lock() = Progress {
            stage: Stage::Handling,
            written: 0,
        };
    }

    fn record_response(&self) {
        self.lock().stage = Stage::Responding;
    }

    /// Records that nothing is left to be written. Returns whether that ends an answer.
    fn record_flush(&self) -> bool {
        let mut progress = self.lock();
        let ends_answer = progress.stage == Stage::Responding && progress.written > 0;
        if ends_answer {
            progress.stage = Stage::Answered;
        }
        ends_answer
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Service of one connection that records its requests and responses.
struct Recorded<S> {
    service: S,
    activity: Arc<Activity>,
    memory: Memory,
}

impl<S> Service<Request<Incoming>> for Recorded<S>
where
    S: Service<Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, Infallible>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        self.activity.record_request();
        let activity = Arc::clone(&self.activity);
        let memory = self.memory.clone();
        memory.hold.set_phase(Phase::Running);
        request.extensions_mut().insert(Arc::clone(&memory.hold));
        let response = self.service.call(request);
        Box::pin(async move {
            let response = response.await;
            if let Ok(response) = &response {
                memory.record_response(response);
            }
            activity.record_response();
            response
        })
    }
}

/// Counts what a connection holds of the head that it sends and of its answer.
#[derive(Clone)]
struct Memory {
    hold: Arc<Hold>,
    /// Bytes of the request, and of its answer.
    counted: Arc<Mutex<(Reservation, Reservation)>>,
    /// Bytes read since the last answer.
    read: Arc<AtomicUsize>,
}

impl Memory {
    fn new(hold: &Arc<Hold>) -> Self {
        let reservation = || Reservation::new(Arc::clone(hold));
        Self {
            hold: Arc::clone(hold),
            counted: Arc::new(Mutex::new((reservation(), reservation()))),
            read: Arc::default(),
        }
    }

    /// Records that bytes were read; fails when there is no room for them.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        self.hold.record_activity();
        let before = self.read.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes <= FREE_BUFFER_BYTES || before > MAX_BUFFER_BYTES {
            return Ok(());
        }
        let counted = (before + bytes).min(MAX_BUFFER_BYTES) - FREE_BUFFER_BYTES;
        if self.lock().0.resize(counted) || !self.hold.is_between_requests() {
            return Ok(());
        }
        Err(io::ErrorKind::OutOfMemory.into())
    }

    /// Counts an answer. It is delivered also when others have to make room for it.
    fn record_response(&self, response: &Response<Full<Bytes>>) {
        self.hold.record_activity();
        self.hold.set_phase(Phase::Sending);
        let length = response.body().size_hint().lower();
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > FREE_BUFFER_BYTES {
            self.lock().1.resize(length);
        }
    }

    /// Records that the answer was written.
    fn record_flush(&self) {
        self.hold.set_phase(Phase::Receiving);
        if self.read.swap(0, Ordering::Relaxed) > FREE_BUFFER_BYTES {
            self.lock().0.resize(0);
        }
        self.lock().1.resize(0);
    }

    fn lock(&self) -> MutexGuard<'_, (Reservation, Reservation)> {
        self.counted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Socket of a connection. After the stop, the kernel takes more of a response than the client
/// reads: it goes on sending after the process has ended.
pub struct ServerStream {
    stream: TcpStream,
    /// Bytes that were read from `stream` before, and not used.
    unused: Bytes,
    activity: Arc<Activity>,
    memory: Memory,
    stop: CancellationToken,
    /// Whether the send buffer was enlarged.
    is_enlarged: bool,
}

impl ServerStream {
    /// Ends this side of the connection and drops what the client still sends, until it ends
    /// its side. If bytes of the client are unread at the close or arrive after it, the
    /// connection is reset, and what hasn't arrived of the response is lost.
    pub async fn linger(mut self) {
        if self.stream.shutdown().await.is_ok() {
            let mut rest = self.stream.take(MAX_LINGER_BYTES);
            // How the client ends it no longer matters.
            let _ = timeout(LINGER_TIME, copy(&mut rest, &mut sink())).await;
        }
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => {
                self.memory.hold.record_activity();
                self.activity.lock().written += bytes;
            }
            // The kernel reports the space that this makes, so the write is tried again.
            Poll::Pending if !self.is_enlarged && self.stop.is_cancelled() => {
                self.is_enlarged = true;
                // If it fails, the client gets what it reads until the end of the stop.
                let _ = enlarge_send_buffer(&self.stream);
            }
            Poll::Ready(Err(_)) | Poll::Pending => {}
        }
        written
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unused.is_empty() {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            let bytes = buffer.filled().len() - before;
            return Poll::Ready(self.memory.record_read(bytes));
        }
        let length = self.unused.len().min(buffer.remaining());
        buffer.put_slice(&self.unused[..length]);
        self.unused.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerStream {
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
        if self.activity.record_flush() {
            self.memory.record_flush();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Lets the kernel take up to twice [`SEND_BUFFER_BYTES`] of unsent bytes, unless it takes more
/// already.
fn enlarge_send_buffer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    if socket.send_buffer_size()? < SEND_BUFFER_BYTES * 2 {
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    }
    Ok(())
}

/// A connection that a server has accepted.
pub struct ServerConnection<S>
where
    S: Service<Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>,
    S::Future: Send + 'static,
{
    http: http1::Connection<TokioIo<ServerStream>, Recorded<S>>,
    builder: http1::Builder,
    activity: Arc<Activity>,
    hold: Arc<Hold>,
    stop: CancellationToken,
}

impl<S> ServerConnection<S>
where
    S: Service<Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible> + Unpin,
    S::Future: Send + 'static,
{
    /// Returns a connection that serves requests until `stop` is cancelled, and that makes room
    /// for others when `hold` is dropped.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        builder: http1::Builder,
        service: S,
        activity: Arc<Activity>,
        hold: Arc<Hold>,
        stop: CancellationToken,
    ) -> Self {
        let memory = Memory::new(&hold);
        let stream = ServerStream {
            stream,
            unused: Bytes::new(),
            activity: Arc::clone(&activity),
            memory: memory.clone(),
            stop: stop.clone(),
            is_enlarged: false,
        };
        let service = Recorded {
            service,
            activity: Arc::clone(&activity),
            memory,
        };
        Self {
            http: builder.serve_connection(TokioIo::new(stream), service),
            builder,
            activity,
            hold,
            stop,
        }
    }

    /// Serves requests until the client closes the connection, until the server stops and the
    /// requests that have arrived by then have their responses, or until `cut` completes after
    /// the stop. Returns what ended it, and the socket if the response may still be on its way:
    /// then it must [linger](ServerStream::linger).
    pub async fn run(mut self, cut: impl Future<Output = ()>) -> (End, Option<ServerStream>) {
        tokio::select! {
            result = &mut self.http => return self.finish(End::of(&result)),
            () = self.stop.cancelled() => {}
            () = self.hold.dropped() => return self.make_room().await,
        }
        if let Ok(result) = timeout(LAST_READ_TIME, &mut self.http).await {
            return self.finish(End::of(&result));
        }
        if self.activity.progress().stage.is_settled() {
            // Hyper would close it although a part of the next head was read.
            let parts = self.http.into_parts();
            if parts.read_buf.is_empty() {
                // Requests that cross this close must not be read any more.
                return (End::Idle, None);
            }
            let mut stream = parts.io.into_inner();
            stream.unused = parts.read_buf;
            self.builder
                .keep_alive(false)
                .header_read_timeout(LAST_HEAD_TIME);
            let stream = TokioIo::new(stream);
            self.http = self.builder.serve_connection(stream, parts.service);
        } else {
            Pin::new(&mut self.http).graceful_shutdown();
        }
        tokio::select! {
            biased;
            result = &mut self.http => self.finish(End::of(&result)),
            () = cut => (End::HostEnded, None),
        }
    }

    /// Ends the connection to make room for others. A request whose body is being read is refused.
    async fn make_room(mut self) -> (End, Option<ServerStream>) {
        if self.activity.progress().stage != Stage::Handling {
            return (End::MadeRoom, None);
        }
        Pin::new(&mut self.http).graceful_shutdown();
        match timeout(REFUSAL_TIME, &mut self.http).await {
            Ok(result) => self.finish(End::of(&result)),
            Err(_) => (End::MadeRoom, None),
        }
    }

    fn finish(self, end: End) -> (End, Option<ServerStream>) {
        let stream = end
            .follows_response()
            .then(|| self.http.into_parts().io.into_inner());
        (end, stream)
    }
}
