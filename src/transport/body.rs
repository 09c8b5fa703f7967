//! Reads the bodies of callers into memory that is counted.

use {
    super::intake::{FREE_BYTES, Hold, Reservation},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request,
        body::{Body, Incoming},
        http::Extensions,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Most bytes of a body that are read after the response.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Time for which the rest of a body is read after the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why there is no whole body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It is longer than allowed.
    TooLong,
    /// It ended early.
    CutOff,
    /// Callers hold too much memory together.
    NoRoom,
}

/// A body and the bytes that are counted for it.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Marks a connection as reading a body until dropped.
struct Reading<'a>(&'a Hold);

impl<'a> Reading<'a> {
    fn start(hold: &'a Hold) -> Self {
        hold.set_reading(true);
        Self(hold)
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.0.set_reading(false);
    }
}

/// Returns what the connection of a request holds, from the request's extensions; `None` when
/// nobody counts it.
#[must_use]
pub fn hold_of(extensions: &Extensions) -> Option<Arc<Hold>> {
    extensions.get().cloned()
}

/// Reads a body of at most `max_bytes`. Its memory is counted until the last copy is dropped.
///
/// # Errors
///
/// Fails when there is no whole body, or no room for it.
pub async fn read(
    body: Incoming,
    max_bytes: usize,
    hold: Option<Arc<Hold>>,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let Some(hold) = hold else {
        return collect(body, max_bytes, None).await;
    };
    let _reading = Reading::start(&hold);
    let reservation = Reservation::new(Arc::clone(&hold));
    tokio::select! {
        biased;
        read = collect(body, max_bytes, Some(reservation)) => read,
        () = hold.dropped() => Err(Failure::NoRoom),
    }
}

/// Copies the chunks into one buffer: each of them would keep the connection's read buffer.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    mut reservation: Option<Reservation>,
) -> Result<Bytes, Failure> {
    let mut whole: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Failure::CutOff)?.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > max_bytes {
            return Err(Failure::TooLong);
        }
        // Most bodies come in one frame and need no copy.
        if whole.is_empty() && data.len() <= FREE_BYTES && body.is_end_stream() {
            return Ok(data);
        }
        if length > whole.capacity() {
            let capacity = length.max(whole.capacity() * 2).min(max_bytes);
            let counted = capacity.saturating_sub(FREE_BYTES);
            if let Some(reservation) = &mut reservation
                && !reservation.resize(counted)
            {
                return Err(Failure::NoRoom);
            }
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&data);
    }
    Ok(match reservation {
        Some(reservation) if whole.capacity() > FREE_BYTES => Bytes::from_owner(Held {
            bytes: whole,
            _reservation: reservation,
        }),
        _ => whole.into(),
    })
}

/// Reads the rest of a request that has its response already, and keeps nothing of it. Closing the
/// connection with unread bytes would reset it, and the caller might not get the response.
pub fn discard(request: Request<Incoming>) {
    let mut body = request.into_body();
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(timeout(DISCARD_TIMEOUT, async move {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await
            && discarded < MAX_DISCARDED_BYTES
        {
            discarded += frame.data_ref().map_or(0, Bytes::len);
        }
    }));
}
