//! What this host knows of a caller's connection, for its log and metrics: the last request,
//! how far its response got, and what ended the connection.

use {
    super::{Gateway, view::lock},
    crate::{
        clock::millis,
        collections::Name,
        transport::connection::{Activity, End},
    },
    hyper::{Request, StatusCode, body::Incoming},
    slog::info,
    std::{
        sync::{Arc, Mutex},
        time::Instant,
    },
};

struct LastRequest {
    id: Name,
    read_at: Instant,
    status: Option<StatusCode>,
    /// Requests so far, with this one.
    number: u64,
}

/// Record of one connection, kept by its listener.
pub struct ConnectionRecord {
    gateway: Arc<Gateway>,
    /// Listener that accepted it.
    listener: &'static str,
    /// How far the last request got.
    pub activity: Arc<Activity>,
    last: Mutex<LastRequest>,
}

impl ConnectionRecord {
    /// Returns the record of a connection that `listener` has accepted.
    #[must_use]
    pub fn new(gateway: Arc<Gateway>, listener: &'static str) -> Self {
        Self {
            gateway,
            listener,
            activity: Arc::default(),
            last: Mutex::new(LastRequest {
                id: Name::default(),
                read_at: Instant::now(),
                status: None,
                number: 0,
            }),
        }
    }

    /// Records that the head of `request` was read.
    pub fn record_request(&self, request: &Request<Incoming>) {
        let id = request.headers().get(&self.gateway.dialect.request_id);
        let id = id.and_then(|id| id.to_str().ok());
        let mut last = lock(&self.last);
        *last = LastRequest {
            id: id.unwrap_or_default().into(),
            read_at: Instant::now(),
            status: None,
            number: last.number + 1,
        };
    }

    /// Records the status of the response.
    pub fn record_status(&self, status: StatusCode) {
        lock(&self.last).status = Some(status);
    }

    /// Logs and counts the end of the connection if a request got no whole response; logs it
    /// also while the host is stopping.
    fn record_end(&self, end: End) {
        let progress = self.activity.progress();
        if !progress.stage.is_settled() {
            self.gateway.metrics.record_unanswered(end);
        }
        let stopping = self.gateway.stopping_time();
        if progress.stage.is_settled() && stopping.is_none() {
            return;
        }
        let last = lock(&self.last);
        info!(self.gateway.log, "listener: connection ended"; "request" => &*last.id,
            "listener" => self.listener, "requests" => last.number, "cause" => end.name(),
            "stage" => progress.stage.name(),
            "status" => last.status.map(|status| status.as_u16()),
            "written_bytes" => progress.written, "read_before_ms" => millis(last.read_at.elapsed()),
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
