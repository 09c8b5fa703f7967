//! Responses to callers: rows with their coverage, or an error.

use {
    super::verdict::{Cause, Verdict},
    crate::collections::Name,
    bytes::Bytes,
    serde::Serialize,
    serde_json::value::RawValue,
    std::time::Duration,
};

/// A successful response, whose rows come from one snapshot.
#[derive(Debug)]
pub struct Answer {
    /// Request id, the caller's own where it gave one.
    pub request: Name,
    /// Snapshot that every row was read from.
    pub snapshot: u64,
    /// How much of the data the rows cover.
    pub coverage: Coverage,
    /// For each shard that replied, its rows as a JSON array.
    pub rows: Vec<Bytes>,
}

/// How much of the data a response covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Shards whose rows are in the response.
    pub answered: u32,
    /// Number of shards in the layout of the pinned snapshot.
    pub total: u32,
    /// The other shards.
    pub missing: Vec<Missing>,
}

/// A shard whose rows are not in the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// Shard number.
    pub shard: u32,
    /// Why it is missing.
    pub cause: Cause,
}

/// The error response to a request that was rejected or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Request id, the caller's own where it gave one.
    pub request: Name,
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Name of the error: a [`Cause`] or `malformed`.
    pub title: &'static str,
    /// What is wrong and, where the caller can correct it, what to send instead.
    pub detail: String,
    /// Time after which the caller may retry; `None` where a retry is of no use.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a malformed request, with status 400.
    #[must_use]
    pub fn bad(request: &Name, detail: impl Into<String>) -> Self {
        Self {
            request: request.clone(),
            status: 400,
            verdict: Verdict::NotRun,
            title: "malformed",
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Returns the refusal with its verdict raised to `verdict` where it is lower.
    #[must_use]
    pub fn at_least(self, verdict: Verdict) -> Self {
        Self {
            verdict: self.verdict.max(verdict),
            ..self
        }
    }

    /// Returns the refusal for `cause`, with the status and detail that belong to it.
    #[must_use]
    pub fn new(request: &Name, verdict: Verdict, cause: Cause) -> Self {
        let (status, detail, retry_after) = match cause {
            Cause::Overloaded => (503, "too many queries for the deadline", RETRY_AFTER),
            Cause::Store => (503, "the configuration store can't be reached", RETRY_AFTER),
            Cause::NoOwner => (503, "no daemon may act for the leaf now", RETRY_AFTER),
            Cause::Quarantined => (422, "this request crashed targets before", None),
            Cause::Repeated => (409, "the idempotency key was used before", None),
            Cause::Deadline => (504, "time ran out", None),
            Cause::Crashed => (502, "the target broke off while it had the request", None),
            Cause::Malformed => (400, "the target could not read the request", None),
            _ => (503, "no target could take the request", RETRY_AFTER),
        };
        Self {
            request: request.clone(),
            status,
            verdict,
            title: cause.name(),
            detail: detail.to_owned(),
            retry_after,
        }
    }
}

const RETRY_AFTER: Option<Duration> = Some(Duration::from_secs(1));

#[derive(Serialize)]
struct AnswerBody<'a> {
    request: &'a str,
    snapshot: u64,
    coverage: &'a Coverage,
    rows: Vec<&'a RawValue>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    run: Verdict,
    request: &'a str,
}

impl Answer {
    /// Returns the response as JSON: `{request, snapshot, coverage, rows}`.
    ///
    /// # Errors
    ///
    /// Fails when the rows of a shard are not a JSON array.
    pub fn to_json(&self) -> serde_json::Result<Vec<u8>> {
        let mut rows = Vec::new();
        for shard_rows in &self.rows {
            let shard_rows: Vec<&RawValue> = serde_json::from_slice(shard_rows)?;
            rows.extend(shard_rows);
        }
        serde_json::to_vec(&AnswerBody {
            request: &self.request,
            snapshot: self.snapshot,
            coverage: &self.coverage,
            rows,
        })
    }
}

impl Refusal {
    /// Returns the refusal as a problem document (RFC 9457) with the field `run`.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&ProblemBody {
            kind: "about:blank",
            title: self.title,
            status: self.status,
            detail: &self.detail,
            run: self.verdict,
            request: &self.request,
        })
        .expect("a refusal has a JSON form")
    }
}
