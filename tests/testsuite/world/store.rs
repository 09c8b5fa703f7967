//! The store of a [`World`]: delays proposals and applies them by compare-and-swap.

use {
    super::{PendingWrite, World},
    arbtest::arbitrary::{Result, Unstructured},
    briarquay::{clock::Millis, coordination::members::Change},
};

impl World {
    pub(super) fn propose(
        &mut self,
        number: usize,
        change: &Change,
        faulty: bool,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let now = self.now;
        if self.store_down {
            self.nodes[number].peer.proposal_done(now);
            return Ok(());
        }
        let base = self.list.clone();
        let node = &mut self.nodes[number];
        let actions = node.peer.apply_list(base.clone(), true, now, &node.gates);
        let next = base.after(change);
        if let Some(next) = next.filter(|_| node.peer.may_propose(change, now)) {
            node.peer.before_proposal(&base, change, now);
            let delay = if faulty { u.int_in_range(0..=800)? } else { 1 };
            self.writes.push(PendingWrite {
                due_at: Millis(now.0 + delay),
                node: number,
                restarts: self.restarts[number],
                base,
                next,
                response_lost: faulty && u.ratio(1, 5)?,
            });
        } else {
            node.peer.proposal_done(now);
        }
        self.apply_actions(number, actions, faulty, u)
    }

    /// Applies the writes that are due. A write succeeds when its base is the list in the
    /// store.
    pub(super) fn apply_writes(&mut self, u: &mut Unstructured<'_>, faulty: bool) -> Result<()> {
        let writes = std::mem::take(&mut self.writes);
        let (due, later) = writes
            .into_iter()
            .partition::<Vec<_>, _>(|write| write.due_at <= self.now);
        self.writes = later;
        for write in due {
            let succeeds = write.base == self.list && !self.store_down;
            if succeeds {
                self.list = write.next.clone();
            }
            let is_same_process =
                self.restarts[write.node] == write.restarts && !self.nodes[write.node].dead;
            if !is_same_process {
                continue;
            }
            let now = self.now;
            let node = &mut self.nodes[write.node];
            let mut actions = Vec::new();
            if !write.response_lost {
                if succeeds {
                    actions = node.peer.apply_list(write.next, true, now, &node.gates);
                } else {
                    node.peer.proposal_failed(&write.base);
                }
            }
            node.peer.proposal_done(now);
            self.apply_actions(write.node, actions, faulty, u)?;
        }
        Ok(())
    }
}
