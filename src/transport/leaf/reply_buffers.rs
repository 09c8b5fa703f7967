//! How much a host keeps of the replies of leaves.
//!
//! A faulty leaf may send bytes without end, in a head or a body, and many may do so at once. Each
//! byte that is read of a reply counts until the reply is dropped, whether it is complete or not. The
//! first bytes of each are free: they fit into the buffer that a connection has anyway, and so do
//! most replies, which faulty leaves then can't keep from being read.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes of each reply that don't count: the buffer of a connection.
const FREE_BYTES: usize = 8 << 10;

/// Most bytes before the end of a head, with interim replies.
const MAX_BYTES_BEFORE_HEAD: usize = 2 * super::MAX_HEAD_BYTES;

/// Buffers that grow with each byte: that of the connection, and that of the body.
const BUFFERS_OF_BYTE: usize = 2;

/// Fraction of a host's memory that replies take up. Many leaves that send endless replies at the
/// same time must not fill it.
const BUFFERED_DIVISOR: usize = 5;

/// Most bytes that a host keeps of all replies together, whatever its memory.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Counts the bytes that are kept of replies, up to a limit.
#[derive(Debug)]
pub struct ReplyBuffers {
    bytes: AtomicUsize,
    limit: usize,
}

impl ReplyBuffers {
    /// Returns the buffers of a host that may use `memory` bytes; `None` when it is not limited.
    #[must_use]
    pub fn new(memory: Option<usize>) -> Self {
        let share = memory.map_or(MAX_BUFFERED_BYTES, |memory| memory / BUFFERED_DIVISOR);
        Self {
            bytes: AtomicUsize::new(0),
            limit: share.min(MAX_BUFFERED_BYTES),
        }
    }

    /// Returns the bytes that are kept beyond the free ones, in all buffers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// The bytes that were read of one reply; they count until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    buffers: Arc<ReplyBuffers>,
    read: AtomicUsize,
    has_head: AtomicBool,
}

impl HeldBytes {
    /// Starts to count a reply.
    #[must_use]
    pub fn new(buffers: &Arc<ReplyBuffers>) -> Self {
        Self {
            buffers: Arc::clone(buffers),
            read: AtomicUsize::new(0),
            has_head: AtomicBool::new(false),
        }
    }

    /// Records that the head of the reply is complete.
    pub fn record_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    /// Records that `count` bytes were read; returns false when a limit is exceeded.
    pub fn record_read(&self, count: usize) -> bool {
        let before = self.read.fetch_add(count, Ordering::Relaxed);
        let read = before + count;
        let added = counted(read) - counted(before);
        let kept = self.buffers.bytes.fetch_add(added, Ordering::Relaxed) + added;
        let is_within = added == 0 || kept <= self.buffers.limit;
        is_within && (read <= MAX_BYTES_BEFORE_HEAD || self.has_head.load(Ordering::Relaxed))
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let read = self.read.load(Ordering::Relaxed);
        self.buffers
            .bytes
            .fetch_sub(counted(read), Ordering::Relaxed);
    }
}

fn counted(read: usize) -> usize {
    read.saturating_sub(FREE_BYTES) * BUFFERS_OF_BYTE
}

/// The reply that a connection reads at present.
pub type CurrentReply = Arc<Mutex<Arc<HeldBytes>>>;

/// A connection to a leaf that counts what it reads.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    current: CurrentReply,
}

impl MeteredStream {
    /// Returns `stream` as one that counts what it reads as bytes of the current reply.
    #[must_use]
    pub fn new(stream: TcpStream, current: CurrentReply) -> Self {
        Self { stream, current }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        Poll::Ready(if current.record_read(count) {
            Ok(())
        } else {
            Err(io::Error::other("the reply is longer than a host keeps"))
        })
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
