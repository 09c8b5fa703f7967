//! State of the deployment as one daemon knows it, for operators.

use {
    super::Coordinator,
    crate::{
        clock::Millis,
        collections::{Name, Set},
        transport::store::Store,
    },
    serde::{Deserialize, Serialize},
};

/// State of the deployment as one daemon knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Id of the daemon.
    pub daemon: Name,
    /// Epoch of its member list.
    pub epoch: u64,
    /// Configuration revision in force at the daemon.
    pub revision: u64,
    /// Whether it holds its lease.
    pub leased: bool,
    /// Leaves that it owns.
    pub owned: usize,
    /// Leaves that it waits to take over.
    pub pending: usize,
    /// Every member.
    pub members: Vec<MemberStatus>,
    /// Failure domains that are out of service.
    pub domains_out: Vec<Name>,
    /// Targets to which this daemon sends fewer concurrent requests than they have slots.
    pub ramping: Vec<Name>,
    /// Targets to which this daemon sends no new requests because they are leaving.
    pub draining: Vec<Name>,
    /// Number of requests that crashed targets and are rejected, for those targets or
    /// entirely.
    pub suspects: usize,
}

/// State of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its id.
    pub id: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Last revision that it reported.
    pub revision: u64,
    /// Number of its witnesses, itself included. With only one it can't be fenced.
    pub witnesses: usize,
    /// Whether it reported that it holds its lease.
    pub leased: bool,
    /// `member`, `leaving` or `fenced`.
    pub state: MemberState,
    /// Time since its last message, in milliseconds.
    pub silent_ms: u64,
}

/// Whether a member may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It acts while it holds its lease.
    Member,
    /// It is stopping.
    Leaving,
    /// It does not act again in this term.
    Fenced,
}

impl Status {
    /// Returns the members that may act and at which `revision` is not in force yet.
    #[must_use]
    pub fn lagging(&self, revision: u64) -> Vec<&MemberStatus> {
        let lags = |member: &&MemberStatus| {
            member.revision < revision && member.state == MemberState::Member
        };
        self.members.iter().filter(lags).collect()
    }
}

impl<S: Store> Coordinator<S> {
    /// Returns the state of the deployment as this daemon knows it.
    pub fn status(&self) -> Status {
        let (members, catalog, owned, pending, epoch) = {
            let peer = self.lock();
            (
                peer.members(Millis::now()),
                std::sync::Arc::clone(peer.catalog()),
                peer.open_leaves().len(),
                peer.pending_leaves().len(),
                peer.list().epoch,
            )
        };
        let mut ramping = Set::default();
        let mut draining = Set::default();
        let mut out = Set::default();
        for leaf in catalog.leaves.values() {
            let gate = self.shared.leaves.gate_status(leaf);
            if gate.open && gate.ramping {
                ramping.insert(leaf.target.clone());
            }
            let is_draining = gate.draining || self.shared.out_of_service(leaf).is_some();
            if gate.open && is_draining {
                draining.insert(leaf.target.clone());
            }
            if leaf.domain_out {
                out.insert(leaf.domain.clone());
            }
        }
        Status {
            daemon: self.shared.settings.id.clone(),
            epoch,
            revision: catalog.revision,
            leased: self.shared.is_leased(),
            owned,
            pending,
            members: members.into_iter().map(MemberStatus::from).collect(),
            domains_out: sorted(out),
            ramping: sorted(ramping),
            draining: sorted(draining),
            suspects: self.shared.quarantine.suspects().len(),
        }
    }
}

impl From<crate::coordination::peer::MemberInfo> for MemberStatus {
    fn from(view: crate::coordination::peer::MemberInfo) -> Self {
        let state = if view.fenced {
            MemberState::Fenced
        } else if view.leaving {
            MemberState::Leaving
        } else {
            MemberState::Member
        };
        Self {
            id: view.key.id,
            domain: view.domain,
            revision: view.revision,
            witnesses: view.witnesses,
            leased: view.leased,
            state,
            silent_ms: view.silent_ms,
        }
    }
}

fn sorted(names: Set<Name>) -> Vec<Name> {
    let mut names: Vec<Name> = names.into_iter().collect();
    names.sort_unstable();
    names
}
