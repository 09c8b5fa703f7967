//! State that a test reads from a [`World`] and events that it triggers.

use {
    super::World,
    arbtest::arbitrary::{Result, Unstructured},
    briarquay::{
        clock::Millis,
        coordination::rollout::{Submission, SubmissionOutcome},
    },
};

impl World {
    /// Returns the number of leaves whose owner holds its lease, and the number of all
    /// leaves.
    pub fn owned_leaves(&self) -> (usize, usize) {
        let owned = self.nodes.iter().filter(|node| !node.dead).map(|node| {
            if node.peer.lease_until() > self.now {
                node.peer.open_leaves().len()
            } else {
                0
            }
        });
        let catalogs = self.nodes.iter().map(|node| node.peer.catalog());
        let newest = catalogs.max_by_key(|catalog| catalog.revision);
        (
            owned.sum(),
            newest.map_or(0, |catalog| catalog.leaves.len()),
        )
    }

    /// Returns the revision in force at each daemon, and the revision in the store.
    pub fn revisions(&self) -> (Vec<u64>, u64) {
        let revisions = self.nodes.iter().map(|node| node.peer.record().revision);
        (revisions.collect(), self.record.revision)
    }

    /// Returns whether a running daemon has an older revision than the store.
    pub fn lags_behind_store(&self) -> bool {
        let mut running = self.nodes.iter().filter(|node| !node.dead);
        running.any(|node| node.peer.record().revision < self.record.revision)
    }

    /// Drops every message with a configuration to a daemon, and cuts it off from the store.
    pub fn block_configuration(&mut self, number: usize) {
        self.uninformed = Some(number);
    }

    /// Changes the number of targets in the declaration, so that leaves move between owners.
    pub fn change_targets(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.store_down {
            return Ok(());
        }
        let targets = u.int_in_range(4..=9)?;
        self.submit(targets);
        Ok(())
    }

    /// Declares 40 targets, so that leaves move between owners and new leaves need one.
    pub fn add_targets(&mut self) {
        self.submit(40);
    }

    fn submit(&mut self, targets: u32) {
        let submission = Submission {
            id: format!("change-{}", self.record.revision).into(),
            base: self.record.revision,
            who: "test".to_owned(),
            why: "test".to_owned(),
            document: document(targets),
        };
        if let SubmissionOutcome::Accept(record) = self.record.evaluate(&submission, 0) {
            self.record = record;
        }
    }

    /// Returns whether a daemon holds its lease.
    pub fn is_leased(&self, number: usize) -> bool {
        self.nodes[number].peer.lease_until() > self.now
    }

    /// Suspends a daemon for `length_ms` milliseconds.
    pub fn suspend_daemon(&mut self, number: usize, length_ms: u64) {
        self.nodes[number].suspended_until = Millis(self.now.0 + length_ms);
    }

    /// Restarts a dead daemon with the same address.
    pub fn restart_dead(&mut self, number: usize) {
        self.restart_daemon(number);
    }

    /// Kills a daemon; requests that it has in flight continue.
    pub fn kill_daemon(&mut self, number: usize) {
        self.nodes[number].dead = true;
    }

    /// Makes the store unreachable.
    pub fn stop_store(&mut self) {
        self.store_down = true;
    }

    /// Drops every message between two daemons.
    pub fn cut_link(&mut self, one: usize, other: usize) {
        self.cut_links.insert((one, other));
        self.cut_links.insert((other, one));
    }

    /// Returns the number of digests sent so far, and their total size in bytes when
    /// encoded.
    pub fn sent_digests(&self) -> (usize, usize) {
        self.digests
    }

    /// Returns the number of members in the smallest member list of a daemon.
    pub fn least_members(&self) -> usize {
        let lists = self.nodes.iter().map(|node| node.peer.list().members.len());
        lists.min().unwrap_or(0)
    }

    /// Returns the smallest number of witnesses of a member.
    pub fn fewest_witnesses(&self) -> usize {
        let counts = self
            .list
            .members
            .iter()
            .map(|member| member.witnesses.len());
        counts.min().unwrap_or(0)
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }
}

/// Returns a declaration of one service with `targets` targets of two leaves.
pub fn document(targets: u32) -> String {
    let mut text = String::from(
        "name: test\ndomains: [{name: domain-0}, {name: domain-1}, {name: domain-2}]\nservices:\n",
    );
    text.push_str(
        "  - name: search\n    shards: 4\n    limits: {slots: 2, connections: 8}\n    targets:\n",
    );
    for target in 0..targets {
        let (first, second) = (2 * target, 2 * target + 1);
        let line = format!(
            "      - {{name: t-{target}, domain: domain-{}, leaves: [{{shard: {}, address: \"127.0.0.1:{}\"}}, {{shard: {}, address: \"127.0.0.1:{}\"}}]}}\n",
            target % 3,
            first % 4,
            10_000 + first,
            second % 4,
            10_000 + second,
        );
        text.push_str(&line);
    }
    text
}
