//! HTTP header names that a platform's callers and leaves use, and the parsing of their values.

use {
    super::verdict::Verdict,
    hyper::{
        HeaderMap, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    std::time::Duration,
};

/// Largest rate limit that is kept, requests per second; no host sends as many.
const MAX_RATE_LIMIT: f64 = 1e9;

/// Header names of one platform.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller; leaves repeat it in their replies.
    pub request_id: HeaderName,
    /// Time for which the sender waits, milliseconds.
    pub deadline: HeaderName,
    /// Digest of a reply, computed by the leaf.
    pub digest: HeaderName,
    /// Id of the only leaf that may run the request.
    pub expected_leaf: HeaderName,
    /// Name of the organisation whose caller sent a request; only hosts set it.
    pub organisation: HeaderName,
    /// A leaf's running requests, its queued requests, its slots and, of some, the time that work
    /// takes there now as a percentage of the usual, separated by commas.
    pub load: HeaderName,
    /// Requests per second that a leaf takes from all hosts together, a decimal number.
    pub rate_limit: HeaderName,
    /// Present when the leaf did not run the request.
    pub not_run: HeaderName,
    /// Digests of the replies that a response is merged from.
    pub part_digests: HeaderName,
    /// Number of shards missing from a response.
    pub missing_parts: HeaderName,
}

/// Load of a leaf, as a reply states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in a slot.
    pub running: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Time that work takes on the leaf's machine now, as a percentage of the usual; `None` when
    /// it isn't stated.
    pub pace: Option<u32>,
}

impl Dialect {
    /// Returns the time for which the sender waits; `None` when the header is missing or is
    /// not a number.
    #[must_use]
    pub fn deadline(&self, headers: &HeaderMap) -> Option<Duration> {
        let text = headers.get(&self.deadline)?.to_str().ok()?;
        text.trim().parse().ok().map(Duration::from_millis)
    }

    /// Returns the load that a reply states; `None` when the header is missing or does not
    /// start with two numbers.
    #[must_use]
    pub fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let text = headers.get(&self.load)?.to_str().ok()?;
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let (running, waiting) = (numbers.next()??, numbers.next()??);
        // The slots stand between; the registry states them as well.
        let pace = numbers.nth(1).flatten().filter(|pace| *pace > 0);
        Some(Load {
            running,
            waiting,
            pace,
        })
    }

    /// Returns the rate limit that a reply states, requests per second; `None` when the header
    /// is missing or is not a finite number that is not negative.
    #[must_use]
    pub fn rate_limit(&self, headers: &HeaderMap) -> Option<f64> {
        let text = headers.get(&self.rate_limit)?.to_str().ok()?;
        let rate: f64 = text.trim().parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then_some(rate.min(MAX_RATE_LIMIT))
    }

    /// Returns the digest of a reply; `None` when the header is missing or is not a single word
    /// of visible ASCII characters without a comma.
    #[must_use]
    pub fn digest<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        let digest = headers.get(&self.digest)?;
        let is_word_byte = |byte: &u8| byte.is_ascii_graphic() && *byte != b',';
        let is_valid = !digest.is_empty() && digest.as_bytes().iter().all(is_word_byte);
        is_valid.then_some(digest)
    }

    /// Returns whether the request that a reply belongs to may have run. It counts as not run
    /// only when the leaf says so, with the header or with status 421 (Misdirected Request).
    #[must_use]
    pub fn verdict(&self, status: StatusCode, headers: &HeaderMap) -> Verdict {
        if headers.contains_key(&self.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
            Verdict::NotRun
        } else {
            Verdict::Ran
        }
    }
}
