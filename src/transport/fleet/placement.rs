//! Places at leaves, which one host gives out to all.

use {
    super::subquery::saturating_micros,
    crate::{
        collections::Name,
        protocol::{
            dialect::Load,
            generated::{
                LeafLoad, PlacementEnd as WireEnd, PlacementOutcome as WireOutcome, PlacementReply,
                PlacementRequest,
            },
        },
        state::placements::Decision,
    },
    futures_util::future::BoxFuture,
    std::time::Duration,
};

/// A request that needs a place at a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementCall {
    /// Service.
    pub service: Name,
    /// Organisation of its caller.
    pub organisation: Name,
    /// Failure domain of the host that sends it.
    pub domain: Name,
    /// Its priority, 0 being the most urgent.
    pub priority: u32,
    /// Latency objective.
    pub objective: Duration,
    /// Time from now after which no reply is of use.
    pub left: Duration,
}

/// What became of a request at the leaf at which it had a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The leaf replied, with this load.
    Replied(Option<Load>),
    /// It rejected the request as full.
    Rejected,
    /// It failed.
    Failed,
    /// It had not replied when the host stopped waiting.
    Unknown,
}

/// The end of a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementEnd {
    /// Service.
    pub service: Name,
    /// Number of the place.
    pub place: u64,
    /// What became of the request.
    pub outcome: PlacementOutcome,
    /// Time from the attempt's start.
    pub took: Duration,
}

/// Gives out places at leaves.
pub trait PlacementService: Send + Sync + 'static {
    /// Returns the decision to come about a request.
    ///
    /// # Errors
    ///
    /// Returns the reason when this host does not place the requests of the service.
    fn place(&self, call: PlacementCall) -> Result<BoxFuture<'static, Decision>, &'static str>;

    /// Ends a place.
    fn end_place(&self, end: PlacementEnd);
}

impl From<&PlacementCall> for PlacementRequest {
    fn from(call: &PlacementCall) -> Self {
        Self {
            service: call.service.to_string(),
            organisation: call.organisation.to_string(),
            domain: call.domain.to_string(),
            rank: call.priority,
            aim_us: saturating_micros(call.objective),
            limit_us: saturating_micros(call.left),
        }
    }
}

impl From<PlacementRequest> for PlacementCall {
    fn from(request: PlacementRequest) -> Self {
        Self {
            service: request.service.into(),
            organisation: request.organisation.into(),
            domain: request.domain.into(),
            priority: request.rank,
            objective: Duration::from_micros(request.aim_us),
            left: Duration::from_micros(request.limit_us),
        }
    }
}

impl From<Decision> for PlacementReply {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Placed { place, leaf } => Self {
                leaf: leaf.to_string(),
                place,
                return_us: 0,
            },
            Decision::Refused(wait) => Self {
                return_us: saturating_micros(wait),
                ..Self::default()
            },
        }
    }
}

impl From<PlacementReply> for Decision {
    fn from(reply: PlacementReply) -> Self {
        if reply.leaf.is_empty() {
            Self::Refused(Duration::from_micros(reply.return_us))
        } else {
            Self::Placed {
                place: reply.place,
                leaf: reply.leaf.into(),
            }
        }
    }
}

impl From<&PlacementEnd> for WireEnd {
    fn from(end: &PlacementEnd) -> Self {
        let outcome = match end.outcome {
            PlacementOutcome::Replied(_) => WireOutcome::Replied,
            PlacementOutcome::Rejected => WireOutcome::Rejected,
            PlacementOutcome::Failed => WireOutcome::Failed,
            PlacementOutcome::Unknown => WireOutcome::Unspecified,
        };
        let load = match end.outcome {
            PlacementOutcome::Replied(load) => load,
            _ => None,
        };
        Self {
            service: end.service.to_string(),
            place: end.place,
            outcome: outcome.into(),
            took_us: saturating_micros(end.took),
            load: load.map(|load| LeafLoad {
                running: load.running,
                waiting: load.waiting,
                pace: load.pace.unwrap_or(0),
            }),
        }
    }
}

impl From<WireEnd> for PlacementEnd {
    fn from(end: WireEnd) -> Self {
        let load = end.load.map(|load| Load {
            running: load.running,
            waiting: load.waiting,
            pace: (load.pace > 0).then_some(load.pace),
        });
        let outcome = match end.outcome() {
            WireOutcome::Replied => PlacementOutcome::Replied(load),
            WireOutcome::Rejected => PlacementOutcome::Rejected,
            WireOutcome::Failed => PlacementOutcome::Failed,
            WireOutcome::Unspecified => PlacementOutcome::Unknown,
        };
        Self {
            service: end.service.into(),
            place: end.place,
            outcome,
            took: Duration::from_micros(end.took_us),
        }
    }
}
