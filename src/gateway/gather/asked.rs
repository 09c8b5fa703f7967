//! One piece of a request from the moment it is handed out to its last reply.

use {
    crate::{
        collections::Name,
        gateway::{
            Gateway,
            helpers::HelperHandle,
            metrics::Handed,
            piece::{self, Work},
            view::View,
        },
        transport::fleet::{NotTaken, Parts},
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

/// Time before the answer's cut at which other hosts tell their replies: the way back and
/// the merge of some pieces on a small host.
const PIECE_RESERVE: Duration = Duration::from_millis(6);

/// A piece that some host asks.
pub(super) struct Asked {
    /// `None` for this host.
    pub(super) helper: Option<Arc<HelperHandle>>,
    pub(super) services: Vec<Name>,
    /// Leaves of one service that its host may ask.
    pub(super) attempts: u32,
    /// Shards whose reply or loss was told.
    pub(super) settled: usize,
    /// Sends that leaves turned away.
    pub(super) refused: usize,
    pub(super) state: PieceState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PieceState {
    /// Handed over at this time.
    Sent(Instant),
    /// Taken on.
    Taken,
    /// Nothing more comes.
    Ended,
}

/// What becomes of a piece.
pub(super) enum Event {
    /// Its host takes it on.
    Taken,
    /// Its host does not.
    NotTaken(NotTaken),
    /// Replies came.
    Parts(Parts),
    /// Nothing more comes; a reason when its host was lost.
    Ended(Option<String>),
}

impl Asked {
    /// Returns a piece that begins now.
    pub(super) fn new(
        helper: Option<Arc<HelperHandle>>,
        services: Vec<Name>,
        attempts: u32,
    ) -> Self {
        let state = match helper {
            Some(_) => PieceState::Sent(Instant::now()),
            None => PieceState::Taken,
        };
        Self {
            helper,
            services,
            attempts,
            settled: 0,
            refused: 0,
            state,
        }
    }
}

impl Event {
    /// Returns how handing the piece over went, once that is known.
    pub(super) fn handed(&self) -> Option<Handed> {
        match self {
            Self::Taken => Some(Handed::Taken),
            Self::NotTaken(NotTaken::Refused(_)) => Some(Handed::Refused),
            Self::NotTaken(NotTaken::Unreachable(_) | NotTaken::Broken(_)) => Some(Handed::Failed),
            Self::Parts(_) | Self::Ended(_) => None,
        }
    }
}

/// Asks the leaves from this host.
pub(super) fn alone(
    gateway: Arc<Gateway>,
    view: Arc<View>,
    work: Work,
) -> BoxStream<'static, Event> {
    let parts = piece::ask(gateway, view, work).map(Event::Parts);
    parts.chain(stream::once(ready(Event::Ended(None)))).boxed()
}

/// Hands the work over to `helper`, with the version of the routes that names its services.
pub(super) fn by_other(
    helper: Arc<HelperHandle>,
    work: Work,
    version: u64,
) -> BoxStream<'static, Event> {
    let events = stream::once(async move {
        let piece = || piece::to_piece(&work, version, PIECE_RESERVE);
        match helper.link.hand(piece).await {
            Ok(parts) => {
                let parts = parts.map(|parts| match parts {
                    Ok(parts) => Event::Parts(parts),
                    Err(reason) => Event::Ended(Some(reason)),
                });
                let taken = stream::once(ready(Event::Taken));
                let ended = stream::once(ready(Event::Ended(None)));
                taken.chain(parts).chain(ended).boxed()
            }
            Err(not_taken) => stream::once(ready(Event::NotTaken(not_taken))).boxed(),
        }
    });
    events.flatten().boxed()
}
