//! Gates that only record which leaves are open.

use {
    briarquay::{
        clock::Millis,
        collections::{Map, Set},
        coordination::peer::Gates,
        protocol::message::LeafWarmth,
        state::{
            catalog::{LeafEntry, LeafId},
            versions::ServiceRanges,
        },
    },
    std::cell::RefCell,
};

/// Gates that only record which leaves are open and until when each has work in flight.
#[derive(Default)]
pub struct FakeGates {
    /// Leaves whose gate is open.
    pub open: RefCell<Set<LeafId>>,
    /// Time until which each leaf has work in flight.
    pub in_flight: RefCell<Map<LeafId, Millis>>,
    /// The virtual time.
    pub now: RefCell<Millis>,
}

impl Gates for FakeGates {
    fn queue_requests(&self, _: LeafId) {}

    fn open(&self, leaf: &LeafEntry, _: Option<&LeafWarmth>) {
        self.open.borrow_mut().insert(leaf.id);
    }

    fn close(&self, leaf: LeafId) -> Option<LeafWarmth> {
        self.open.borrow_mut().remove(&leaf);
        None
    }

    fn is_busy(&self, leaf: LeafId) -> bool {
        let now = *self.now.borrow();
        self.in_flight
            .borrow()
            .get(&leaf)
            .is_some_and(|until| *until > now)
    }

    fn slow_leaves(&self, _: &[&LeafEntry]) -> Vec<LeafId> {
        Vec::new()
    }

    fn version_ranges(&self, _: &[&LeafEntry]) -> Vec<ServiceRanges> {
        Vec::new()
    }
}
