//! Some shards of a request, as one entry host hands them to another.

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

/// Some shards of a request.
#[derive(Clone, Debug)]
pub struct Piece {
    /// Id of the caller's attempt.
    pub id: Name,
    /// Name of the route.
    pub route: Name,
    /// Version of the routes that names the services.
    pub version: u64,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that leaves get.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
    /// A service for each shard.
    pub services: Vec<Name>,
    /// Leaves of one service that may run the request.
    pub attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Records in the merged answer.
    pub records: usize,
    /// Time within which the whole answer is worth most.
    pub aim: Duration,
    /// Time from now at which the replies so far are told.
    pub cut: Duration,
    /// Time from now after which no reply is of use.
    pub limit: Duration,
    /// Whether another host may have asked leaves of these shards.
    pub is_repeat: bool,
}

/// Replies of shards, merged, that were not told before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    /// Number of replies.
    pub count: usize,
    /// Their digests, joined by commas.
    pub digests: Bytes,
    /// The greatest of their records, greatest first.
    pub records: Bytes,
    /// Shards that give no reply any more.
    pub lost: Vec<Lost>,
    /// Sends that leaves turned away so far.
    pub refused: usize,
}

/// A shard that gives no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The leaf that was asked last; empty when none was.
    pub leaf: Name,
    /// Why.
    pub failure: Failure,
}

/// Asks leaves for other hosts.
pub trait Pieces: Send + Sync + 'static {
    /// Takes a piece on.
    ///
    /// # Errors
    ///
    /// Says why it is not taken on; then no leaf is asked.
    fn take(&self, piece: Piece) -> Result<BoxStream<'static, Parts>, &'static str>;
}

impl From<Piece> for GatherRequest {
    fn from(piece: Piece) -> Self {
        let headers = piece.headers.iter().map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        Self {
            headers: headers.collect(),
            id: piece.id.to_string(),
            route: piece.route.to_string(),
            version: piece.version,
            method: piece.method.to_string(),
            uri: piece.uri.to_string(),
            body: piece.body,
            services: piece.services.iter().map(ToString::to_string).collect(),
            attempts: piece.attempts,
            rank: piece.rank,
            records: number(piece.records),
            aim_us: micros(piece.aim),
            cut_us: micros(piece.cut),
            limit_us: micros(piece.limit),
            is_repeat: piece.is_repeat,
        }
    }
}

impl TryFrom<GatherRequest> for Piece {
    type Error = Status;

    fn try_from(request: GatherRequest) -> Result<Self, Status> {
        let unreadable = |what: &str| Status::failed_precondition(format!("{what} can't be read"));
        let mut headers = HeaderMap::with_capacity(request.headers.len());
        for field in request.headers {
            let name: Result<HeaderName, _> = field.name.parse();
            let value = HeaderValue::from_maybe_shared(field.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(unreadable("a header"));
            };
            headers.append(name, value);
        }
        let method = request.method.parse().map_err(|_| unreadable("the method"));
        let uri = request.uri.parse().map_err(|_| unreadable("the path"));
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
            records: size(request.records),
            aim: Duration::from_micros(request.aim_us),
            cut: Duration::from_micros(request.cut_us),
            limit: Duration::from_micros(request.limit_us),
            is_repeat: request.is_repeat,
        })
    }
}

impl From<Parts> for GatheredParts {
    fn from(parts: Parts) -> Self {
        let lost = parts.lost.into_iter().map(|lost| LostShard {
            leaf: lost.leaf.to_string(),
            run: wire::Run::from(lost.failure.verdict).into(),
            cause: wire::Cause::from(lost.failure.cause).into(),
        });
        Self {
            count: number(parts.count),
            digests: parts.digests,
            records: parts.records,
            lost: lost.collect(),
            refused: number(parts.refused),
        }
    }
}

impl From<GatheredParts> for Parts {
    fn from(parts: GatheredParts) -> Self {
        let lost = parts.lost.into_iter().map(|lost| Lost {
            failure: Failure {
                verdict: lost.run().into(),
                cause: lost.cause().into(),
            },
            leaf: lost.leaf.into(),
        });
        Self {
            count: size(parts.count),
            digests: parts.digests,
            records: parts.records,
            lost: lost.collect(),
            refused: size(parts.refused),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn number(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn size(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
