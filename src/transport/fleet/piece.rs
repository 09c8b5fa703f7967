//! Subqueries: some shards of a request, which another entry host queries on behalf of the
//! one that received it.

use {
    crate::{
        collections::Name,
        protocol::{
            generated::{self as wire, GatherRequest, GatheredParts, HeaderField, LostShard},
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
pub struct Piece {
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
    pub rank: u32,
    /// Number of records in the merged response.
    pub records: usize,
    /// Latency objective: the time within which the whole response is worth most.
    pub aim: Duration,
    /// Soft deadline: the time from now after which the replies so far are sent back.
    pub cut: Duration,
    /// Deadline: the time from now after which no reply is of use.
    pub limit: Duration,
    /// Whether another host may have queried leaves of these shards.
    pub is_repeat: bool,
}

/// Partial result: the merged shard replies that came since the last partial result.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    /// Number of merged replies.
    pub count: usize,
    /// Digests of the replies, joined by commas.
    pub digests: Bytes,
    /// The greatest records of the replies, in descending order.
    pub records: Bytes,
    /// Shards that will not reply.
    pub lost: Vec<Lost>,
    /// Attempts of this subquery that leaves have rejected so far.
    pub refused: usize,
}

/// A shard without a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The leaf that was tried last; empty when none was.
    pub leaf: Name,
    /// Whether the request may have run, and why there is no reply.
    pub failure: Failure,
}

/// Runs subqueries for other hosts.
pub trait Pieces: Send + Sync + 'static {
    /// Starts a subquery and returns the stream of its partial results.
    ///
    /// # Errors
    ///
    /// Returns the reason for a rejection; no leaf has been queried then.
    fn take(&self, subquery: Piece) -> Result<BoxStream<'static, Parts>, &'static str>;
}

impl From<Piece> for GatherRequest {
    fn from(subquery: Piece) -> Self {
        let headers = subquery.headers.iter().map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        Self {
            headers: headers.collect(),
            id: subquery.id.to_string(),
            route: subquery.route.to_string(),
            version: subquery.version,
            method: subquery.method.to_string(),
            uri: subquery.uri.to_string(),
            body: subquery.body,
            services: subquery.services.iter().map(ToString::to_string).collect(),
            attempts: subquery.attempts,
            rank: subquery.rank,
            records: saturating_u32(subquery.records),
            aim_us: saturating_micros(subquery.aim),
            cut_us: saturating_micros(subquery.cut),
            limit_us: saturating_micros(subquery.limit),
            is_repeat: subquery.is_repeat,
        }
    }
}

impl TryFrom<GatherRequest> for Piece {
    type Error = Status;

    fn try_from(request: GatherRequest) -> Result<Self, Status> {
        let invalid = |field: &str| Status::failed_precondition(format!("{field} can't be read"));
        let mut headers = HeaderMap::with_capacity(request.headers.len());
        for field in request.headers {
            let name: Result<HeaderName, _> = field.name.parse();
            let value = HeaderValue::from_maybe_shared(field.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(invalid("a header"));
            };
            headers.append(name, value);
        }
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
            rank: request.rank,
            records: saturating_usize(request.records),
            aim: Duration::from_micros(request.aim_us),
            cut: Duration::from_micros(request.cut_us),
            limit: Duration::from_micros(request.limit_us),
            is_repeat: request.is_repeat,
        })
    }
}

impl From<Parts> for GatheredParts {
    fn from(partial: Parts) -> Self {
        let lost = partial.lost.into_iter().map(|lost| LostShard {
            leaf: lost.leaf.to_string(),
            run: wire::Run::from(lost.failure.verdict).into(),
            cause: wire::Cause::from(lost.failure.cause).into(),
        });
        Self {
            count: saturating_u32(partial.count),
            digests: partial.digests,
            records: partial.records,
            lost: lost.collect(),
            refused: saturating_u32(partial.refused),
        }
    }
}

impl From<GatheredParts> for Parts {
    fn from(partial: GatheredParts) -> Self {
        let lost = partial.lost.into_iter().map(|lost| Lost {
            failure: Failure {
                verdict: lost.run().into(),
                cause: lost.cause().into(),
            },
            leaf: lost.leaf.into(),
        });
        Self {
            count: saturating_usize(partial.count),
            digests: partial.digests,
            records: partial.records,
            lost: lost.collect(),
            refused: saturating_usize(partial.refused),
        }
    }
}

fn saturating_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn saturating_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
