//! Subqueries: some shards of a request, which another entry host queries on behalf of the
//! one that received it.

use {
    crate::{
        collections::Name,
        protocol::{
            generated::{self as wire, GatherRequest, GatheredParts, HeaderField},
            verdict::Failure,
        },
    },
    bytes::Bytes,
    futures_util::stream::BoxStream,
    hyper::{
        HeaderMap, Method, Uri,
        header::{HeaderName, HeaderValue},
    },
    std::time::Duration,
    tonic::Status,
};

/// Some shards of a request, and what a helper needs to query them.
#[derive(Clone, Debug)]
pub struct Subquery {
    /// Id of the caller's attempt.
    pub id: Name,
    /// Name of the route.
    pub route: Name,
    /// Version of the routes that name the services.
    pub version: u64,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are sent to leaves.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The service of each shard.
    pub services: Vec<Name>,
    /// Most leaves of one service that may run the request.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of records in the merged response.
    pub max_records: usize,
    /// Latency objective: the time within which the whole response is worth most.
    pub objective: Duration,
    /// Soft deadline: the time from now after which the replies so far are sent back.
    pub soft_deadline: Duration,
    /// Deadline: the time from now after which no reply is of use.
    pub deadline: Duration,
    /// Whether another host may have queried leaves of these shards.
    pub is_repeat: bool,
    /// Whether a host has checked the caller: the headers name its organisation and have no key.
    pub is_checked: bool,
}

/// Partial result: the merged shard replies that came since the last partial result.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialResult {
    /// Number of merged replies.
    pub count: usize,
    /// Digests of the replies, joined by commas.
    pub digests: Bytes,
    /// The greatest records of the replies, in descending order.
    pub records: Bytes,
    /// Shards that will not reply.
    pub lost: Vec<LostShard>,
    /// Attempts of this subquery that leaves have rejected so far.
    pub rejected: usize,
}

/// A shard without a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostShard {
    /// The leaf that was tried last; empty when none was.
    pub leaf: Name,
    /// Whether the request may have run, and why there is no reply.
    pub failure: Failure,
    /// Service of the shard if the host reached none of its leaves, so that none has got the
    /// request; otherwise empty.
    pub unreached: Name,
}

/// Runs subqueries for other hosts.
pub trait SubqueryService: Send + Sync + 'static {
    /// Starts a subquery and returns the stream of its partial results.
    ///
    /// # Errors
    ///
    /// Returns the reason for a rejection; no leaf has been queried then.
    fn start(&self, subquery: Subquery) -> Result<BoxStream<'static, PartialResult>, &'static str>;
}

impl From<Subquery> for GatherRequest {
    fn from(subquery: Subquery) -> Self {
        Self {
            headers: encode_headers(&subquery.headers),
            id: subquery.id.to_string(),
            route: subquery.route.to_string(),
            version: subquery.version,
            method: subquery.method.to_string(),
            uri: subquery.uri.to_string(),
            body: subquery.body,
            services: subquery.services.iter().map(ToString::to_string).collect(),
            attempts: subquery.attempts,
            rank: subquery.priority,
            records: saturating_u32(subquery.max_records),
            aim_us: saturating_micros(subquery.objective),
            cut_us: saturating_micros(subquery.soft_deadline),
            limit_us: saturating_micros(subquery.deadline),
            is_repeat: subquery.is_repeat,
            is_checked: subquery.is_checked,
        }
    }
}

impl TryFrom<GatherRequest> for Subquery {
    type Error = Status;

    fn try_from(request: GatherRequest) -> Result<Self, Status> {
        let invalid = |field: &str| Status::failed_precondition(format!("{field} can't be read"));
        let headers = decode_headers(request.headers).ok_or_else(|| invalid("a header"))?;
        let method = request.method.parse().map_err(|_| invalid("the method"));
        let uri = request.uri.parse().map_err(|_| invalid("the path"));
        Ok(Self {
            headers,
            method: method?,
            uri: uri?,
            id: request.id.into(),
            route: request.route.into(),
            version: request.version,
            body: request.body,
            services: request.services.into_iter().map(Name::from).collect(),
            attempts: request.attempts,
            priority: request.rank,
            max_records: saturating_usize(request.records),
            objective: Duration::from_micros(request.aim_us),
            soft_deadline: Duration::from_micros(request.cut_us),
            deadline: Duration::from_micros(request.limit_us),
            is_repeat: request.is_repeat,
            is_checked: request.is_checked,
        })
    }
}

impl From<PartialResult> for GatheredParts {
    fn from(partial: PartialResult) -> Self {
        let lost = partial.lost.into_iter().map(|lost| wire::LostShard {
            leaf: lost.leaf.to_string(),
            run: wire::Run::from(lost.failure.verdict).into(),
            cause: wire::Cause::from(lost.failure.cause).into(),
            service: lost.unreached.to_string(),
        });
        Self {
            count: saturating_u32(partial.count),
            digests: partial.digests,
            records: partial.records,
            lost: lost.collect(),
            refused: saturating_u32(partial.rejected),
        }
    }
}

impl From<GatheredParts> for PartialResult {
    fn from(partial: GatheredParts) -> Self {
        let lost = partial.lost.into_iter().map(|lost| LostShard {
            failure: Failure {
                verdict: lost.run().into(),
                cause: lost.cause().into(),
            },
            leaf: lost.leaf.into(),
            unreached: lost.service.into(),
        });
        Self {
            count: saturating_usize(partial.count),
            digests: partial.digests,
            records: partial.records,
            lost: lost.collect(),
            rejected: saturating_usize(partial.refused),
        }
    }
}

/// Encodes headers.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let fields = headers.iter().map(|(name, value)| HeaderField {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    fields.collect()
}

/// Decodes headers; `None` if one is not valid.
pub(super) fn decode_headers(fields: Vec<HeaderField>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name: HeaderName = field.name.parse().ok()?;
        let value = HeaderValue::from_maybe_shared(field.value).ok()?;
        headers.append(name, value);
    }
    Some(headers)
}

pub(super) fn saturating_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn saturating_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
