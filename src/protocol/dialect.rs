//! The header names that a platform's callers and leaves agree on.

use {
    super::verdict::Verdict,
    hyper::{
        HeaderMap, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    std::time::Duration,
};

/// Header names of one platform.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller; leaves repeat it in their replies.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender will wait.
    pub deadline: HeaderName,
    /// A leaf's digest of its reply.
    pub digest: HeaderName,
    /// Id of the only leaf that may run the request.
    pub expected_leaf: HeaderName,
    /// Running and waiting requests of a leaf, and its slots.
    pub load: HeaderName,
    /// Present when the leaf did not run the request.
    pub not_run: HeaderName,
    /// Digests of the replies that an answer is made of.
    pub part_digests: HeaderName,
    /// Number of shards that an answer leaves out.
    pub missing_parts: HeaderName,
}

/// What a leaf says of its load in a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

impl Dialect {
    /// Returns the time that the sender will wait, if it says so.
    #[must_use]
    pub fn deadline(&self, headers: &HeaderMap) -> Option<Duration> {
        let text = headers.get(&self.deadline)?.to_str().ok()?;
        text.trim().parse().ok().map(Duration::from_millis)
    }

    /// Returns the load that a reply tells of.
    #[must_use]
    pub fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let text = headers.get(&self.load)?.to_str().ok()?;
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        Some(Load {
            running: numbers.next()??,
            waiting: numbers.next()??,
        })
    }

    /// Returns the digest of a reply, when it can be one: a single word.
    #[must_use]
    pub fn digest<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        let digest = headers.get(&self.digest)?;
        let is_word = |byte: &u8| byte.is_ascii_graphic() && *byte != b',';
        let is_whole = !digest.is_empty() && digest.as_bytes().iter().all(is_word);
        is_whole.then_some(digest)
    }

    /// Returns whether the request that a reply belongs to may have run. Only the leaf's
    /// own word counts.
    #[must_use]
    pub fn verdict(&self, status: StatusCode, headers: &HeaderMap) -> Verdict {
        if headers.contains_key(&self.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
            Verdict::NotRun
        } else {
            Verdict::Ran
        }
    }
}
