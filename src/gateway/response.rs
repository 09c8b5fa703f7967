//! Builds the caller's response from the replies of leaves.

use {
    crate::{
        policy::merge,
        protocol::dialect::Dialect,
        transport::{fleet::PartialResult, leaf::LeafReply},
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
pub type FullResponse = Response<Full<Bytes>>;

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Removes the headers that apply to one connection only, including those that the
/// `Connection` header names, and `Expect`. Also removes `Content-Length`, which is set
/// again when the message is written.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Returns a leaf's reply as the response, without hop-by-hop headers and the leaf's load
/// report.
#[must_use]
pub fn forward(dialect: &Dialect, reply: LeafReply) -> FullResponse {
    let mut headers = reply.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(&dialect.load);
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = headers;
    response
}

/// Returns the digests of the replies, joined by commas.
#[must_use]
pub fn reply_digests(dialect: &Dialect, replies: &[&LeafReply]) -> Bytes {
    let digests = replies
        .iter()
        .filter_map(|reply| dialect.digest(&reply.headers));
    join_digests(digests.map(HeaderValue::as_bytes))
}

fn join_digests<'a>(digests: impl Iterator<Item = &'a [u8]>) -> Bytes {
    let mut all = Vec::new();
    for digest in digests.filter(|digest| !digest.is_empty()) {
        if !all.is_empty() {
            all.extend_from_slice(b", ");
        }
        all.extend_from_slice(digest);
    }
    all.into()
}

/// Merges partial results into one response with at most `records` records and the number
/// of missing shards, out of `total`.
#[must_use]
pub fn merge_partials(
    dialect: &Dialect,
    partials: &[PartialResult],
    total: usize,
    records: usize,
) -> FullResponse {
    let body = merge::merge_greatest(partials.iter().map(|partial| &partial.records), records);
    let digests = join_digests(partials.iter().map(|partial| &*partial.digests));
    let replied: usize = partials.iter().map(|partial| partial.count).sum();
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    if let Ok(digests) = HeaderValue::from_maybe_shared(digests) {
        headers.insert(dialect.part_digests.clone(), digests);
    }
    let missing = HeaderValue::from(total.saturating_sub(replied));
    headers.insert(dialect.missing_parts.clone(), missing);
    response
}

/// Returns a 503 response for a request that did not run and will not. `Retry-After` is
/// `after` in seconds, with milliseconds.
#[must_use]
pub fn reject(after: Duration, message: &'static str) -> FullResponse {
    reject_with(StatusCode::SERVICE_UNAVAILABLE, after, message)
}

/// Returns the same with another status.
#[must_use]
pub fn reject_with(status: StatusCode, after: Duration, message: &'static str) -> FullResponse {
    let mut response = plain_text(status, message);
    let after = format!("{:.3}", after.as_secs_f64());
    if let Ok(after) = HeaderValue::from_str(&after) {
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}

/// Returns a plain-text response of this host that states the reason.
#[must_use]
pub fn plain_text(status: StatusCode, message: &'static str) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(message.as_bytes())));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
