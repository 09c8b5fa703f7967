//! One subquery from its start to its last partial result.

use {
    crate::{
        collections::Name,
        gateway::{
            Gateway,
            helpers::HelperHandle,
            metrics::SubqueryOutcome,
            subquery::{self, SubqueryTask},
            view::View,
        },
        transport::fleet::{PartialResult, PeerRejection},
    },
    futures_util::{
        StreamExt,
        stream::{self, BoxStream},
    },
    std::{
        future::ready,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time before the soft deadline of the response at which other hosts report their replies.
/// It covers the way back and the merge of several partial results on a small host.
const MERGE_RESERVE: Duration = Duration::from_millis(6);

/// A subquery that this host or a helper runs.
pub(super) struct DelegatedSubquery {
    /// Helper that runs the subquery; `None` for this host.
    pub(super) helper: Option<Arc<HelperHandle>>,
    pub(super) services: Vec<Name>,
    /// Number of leaves of one service that may run the request.
    pub(super) attempts: u32,
    /// Number of shards whose reply or failure was reported.
    pub(super) settled: usize,
    /// Attempts that leaves rejected without running the request, as last reported.
    pub(super) rejections: usize,
    pub(super) state: SubqueryState,
    /// Hosts that reach no leaf of these services.
    pub(super) cut_hosts: Vec<Name>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubqueryState {
    /// Sent to its helper at this time; not accepted yet.
    Sent(Instant),
    /// Accepted by its host.
    Accepted,
    /// No more partial results will come.
    Ended,
}

/// An event of a subquery.
pub(super) enum SubqueryEvent {
    /// The helper accepted the subquery.
    Accepted,
    /// The helper did not accept the subquery.
    NotAccepted(PeerRejection),
    /// A partial result arrived.
    Partial(PartialResult),
    /// No more partial results will come; with a reason when the helper was lost.
    Ended(Option<String>),
}

impl DelegatedSubquery {
    /// Creates a subquery that starts now.
    pub(super) fn new(
        helper: Option<Arc<HelperHandle>>,
        services: Vec<Name>,
        attempts: u32,
    ) -> Self {
        let state = match helper {
            Some(_) => SubqueryState::Sent(Instant::now()),
            None => SubqueryState::Accepted,
        };
        Self {
            helper,
            services,
            attempts,
            settled: 0,
            rejections: 0,
            state,
            cut_hosts: Vec::new(),
        }
    }

    /// Returns the name of the host that runs the subquery; `own` is that of this host.
    pub(super) fn host(&self, own: &Name) -> Name {
        let helper = self.helper.as_ref();
        helper.map_or_else(|| own.clone(), |helper| helper.id.clone())
    }
}

impl SubqueryEvent {
    /// Returns whether the helper accepted the subquery, if the event says so.
    pub(super) fn handoff_outcome(&self) -> Option<SubqueryOutcome> {
        match self {
            Self::Accepted => Some(SubqueryOutcome::Accepted),
            Self::NotAccepted(PeerRejection::Refused(_)) => Some(SubqueryOutcome::Rejected),
            Self::NotAccepted(PeerRejection::Unreachable(_) | PeerRejection::Broken(_)) => {
                Some(SubqueryOutcome::Failed)
            }
            Self::Partial(_) | Self::Ended(_) => None,
        }
    }
}

/// Runs the subquery on this host.
pub(super) fn run_locally(
    gateway: Arc<Gateway>,
    view: Arc<View>,
    task: SubqueryTask,
) -> BoxStream<'static, SubqueryEvent> {
    let partials = subquery::run_subquery(gateway, view, task).map(SubqueryEvent::Partial);
    partials
        .chain(stream::once(ready(SubqueryEvent::Ended(None))))
        .boxed()
}

/// Runs the subquery on `helper`. `version` is the version of the routes that name its
/// services.
pub(super) fn run_remotely(
    helper: Arc<HelperHandle>,
    task: SubqueryTask,
    version: u64,
) -> BoxStream<'static, SubqueryEvent> {
    let events = stream::once(async move {
        let encode = || subquery::to_subquery(&task, version, MERGE_RESERVE);
        match helper.channel.send_subquery(encode).await {
            Ok(partials) => {
                let partials = partials.map(|partial| match partial {
                    Ok(partial) => SubqueryEvent::Partial(partial),
                    Err(reason) => SubqueryEvent::Ended(Some(reason)),
                });
                let accepted = stream::once(ready(SubqueryEvent::Accepted));
                let ended = stream::once(ready(SubqueryEvent::Ended(None)));
                accepted.chain(partials).chain(ended).boxed()
            }
            Err(error) => stream::once(ready(SubqueryEvent::NotAccepted(error))).boxed(),
        }
    });
    events.flatten().boxed()
}
