//! The caller's response, made of what leaves replied.

use {
    crate::{
        policy::merge,
        protocol::dialect::Dialect,
        transport::{fleet::Parts, leaf::LeafReply},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    std::time::Duration,
};

/// A response whose body is one buffer.
pub type Reply = Response<Full<Bytes>>;

/// Headers that concern one connection only.
const OF_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes headers that concern one connection only, those that it names among them.
/// The length goes too: it is stated again when the message is written.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&OF_CONNECTION) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Passes a leaf's reply on as it is.
#[must_use]
pub fn pass(dialect: &Dialect, reply: LeafReply) -> Reply {
    let mut headers = reply.headers;
    strip(&mut headers);
    headers.remove(&dialect.load);
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = headers;
    response
}

/// Returns the digests of replies, joined by commas.
#[must_use]
pub fn digests(dialect: &Dialect, replies: &[&LeafReply]) -> Bytes {
    let digests = replies
        .iter()
        .filter_map(|reply| dialect.digest(&reply.headers));
    joined(digests.map(HeaderValue::as_bytes))
}

fn joined<'a>(digests: impl Iterator<Item = &'a [u8]>) -> Bytes {
    let mut all = Vec::new();
    for digest in digests.filter(|digest| !digest.is_empty()) {
        if !all.is_empty() {
            all.extend_from_slice(b", ");
        }
        all.extend_from_slice(digest);
    }
    all.into()
}

/// Merges the replies of shards; `total` shards were to reply.
#[must_use]
pub fn merged(dialect: &Dialect, parts: &[Parts], total: usize, records: usize) -> Reply {
    let body = merge::greatest(parts.iter().map(|part| &part.records), records);
    let digests = joined(parts.iter().map(|part| &*part.digests));
    let count: usize = parts.iter().map(|part| part.count).sum();
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    if let Ok(digests) = HeaderValue::from_maybe_shared(digests) {
        headers.insert(dialect.part_digests.clone(), digests);
    }
    let missing = HeaderValue::from(total.saturating_sub(count));
    headers.insert(dialect.missing_parts.clone(), missing);
    response
}

/// Refuses a request that did not run and will not; the caller may come back after
/// `after`.
#[must_use]
pub fn refused(after: Duration, why: &'static str) -> Reply {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, why);
    let after = format!("{:.3}", after.as_secs_f64());
    if let Ok(after) = HeaderValue::from_str(&after) {
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}

/// Returns a response of this host's own with a word on why.
#[must_use]
pub fn plain(status: StatusCode, why: &'static str) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
