//! Simulation of several coordination state machines, a lossy network and a store in
//! virtual time.
//!
//! Every random choice comes from an `Unstructured`, so that a seed determines the run.

use {
    arbtest::arbitrary::{Result, Unstructured},
    briarquay::{
        clock::Millis,
        collections::{Map, Name, Set},
        coordination::{
            members::{Candidate, MemberList},
            peer::{Action, Peer},
            rollout::{Record, Submission, SubmissionOutcome},
        },
        protocol::{
            generated as wire,
            message::{MemberKey, Message},
        },
        state::catalog::LeafId,
    },
    bytes::Bytes,
    prost::Message as _,
    std::time::Duration,
};

mod controls;
mod gates;
mod store;

pub use self::controls::document;
use self::gates::FakeGates;

/// Lifetime of a lease in the simulation.
pub const LEASE_TTL: Duration = Duration::from_secs(2);

/// Virtual time between two steps, milliseconds.
const STEP_MS: u64 = 20;

/// One simulated daemon.
struct Node {
    id: Name,
    peer: Peer,
    gates: FakeGates,
    suspended_until: Millis,
    dead: bool,
}

/// A write of the member list that has not reached the store yet.
struct PendingWrite {
    due_at: Millis,
    node: usize,
    /// Number of restarts of the node before the write.
    restarts: u64,
    base: MemberList,
    next: MemberList,
    response_lost: bool,
}

/// A message that is not delivered yet.
struct PendingMessage {
    due_at: Millis,
    from: MemberKey,
    sender: usize,
    to: Name,
    message: Message,
}

/// The simulated daemons, network and store.
pub struct World {
    now: Millis,
    nodes: Vec<Node>,
    /// Number of restarts of each node.
    restarts: Vec<u64>,
    messages: Vec<PendingMessage>,
    writes: Vec<PendingWrite>,
    list: MemberList,
    record: Record,
    store_down: bool,
    /// Links that lose every message, as sender and receiver.
    cut_links: Set<(usize, usize)>,
    /// Node that receives no configuration, from the store or other nodes.
    uninformed: Option<usize>,
    /// Number of digests sent and their total size in bytes.
    digests: (usize, usize),
    /// Requests that ended processes left in flight: node, leaf and end.
    orphans: Vec<(Name, LeafId, Millis)>,
    /// Latest revision that each node has applied since its start; it must never decrease.
    applied: Vec<u64>,
}

impl World {
    /// Returns `count` daemons without list or configuration, and a store with `document`.
    pub fn new(count: usize, document: &str) -> Self {
        let submission = Submission {
            id: "first".into(),
            base: 0,
            who: "test".to_owned(),
            why: "test".to_owned(),
            document: document.to_owned(),
        };
        let SubmissionOutcome::Accept(record) = Record::default().evaluate(&submission, 0) else {
            panic!("the document is invalid");
        };
        let mut world = Self {
            now: Millis(1),
            nodes: Vec::new(),
            restarts: vec![0; count],
            messages: Vec::new(),
            writes: Vec::new(),
            list: MemberList::default(),
            record,
            store_down: false,
            cut_links: Set::default(),
            uninformed: None,
            digests: (0, 0),
            orphans: Vec::new(),
            applied: vec![0; count],
        };
        for number in 0..count {
            let node = Self::new_node(number, Millis(0));
            world.nodes.push(node);
        }
        world
    }

    fn new_node(number: usize, now: Millis) -> Node {
        let port = u16::try_from(9_000 + number).expect("a port");
        let candidate = Candidate {
            id: format!("entry-{number}").into(),
            address: ([127, 0, 0, 1], port).into(),
            domain: format!("domain-{}", number % 3).into(),
        };
        Node {
            id: candidate.id.clone(),
            peer: Peer::new(candidate, LEASE_TTL, now),
            gates: FakeGates::default(),
            suspended_until: Millis(0),
            dead: false,
        }
    }

    /// Runs `steps` steps with faults drawn from `u`.
    pub fn run_with_faults(&mut self, u: &mut Unstructured<'_>, steps: usize) -> Result<()> {
        for _ in 0..steps {
            self.inject_fault(u)?;
            self.step(u, true)?;
        }
        Ok(())
    }

    /// Ends all faults, restarts dead daemons and runs `steps` steps without new faults.
    pub fn heal_and_run(&mut self, u: &mut Unstructured<'_>, steps: usize) -> Result<()> {
        self.store_down = false;
        self.cut_links.clear();
        for number in 0..self.nodes.len() {
            self.nodes[number].suspended_until = Millis(0);
            if self.nodes[number].dead {
                self.restart_daemon(number);
            }
        }
        for _ in 0..steps {
            self.step(u, false)?;
        }
        Ok(())
    }

    /// Runs one step without new faults.
    pub fn step_without_faults(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.step(u, false)
    }

    /// Injects a random fault, on average in one of 25 steps.
    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !u.ratio(1, 25)? {
            return Ok(());
        }
        let number = u.choose_index(self.nodes.len())?;
        let other = u.choose_index(self.nodes.len())?;
        match u.int_in_range(0..=9)? {
            0 => {
                let length = u.int_in_range(100..=6_000)?;
                self.nodes[number].suspended_until = Millis(self.now.0 + length);
            }
            1 => self.nodes[number].dead = true,
            2 | 3 => {
                if self.nodes[number].dead {
                    self.restart_daemon(number);
                }
            }
            4 => self.store_down = !self.store_down,
            5 => {
                self.cut_links.insert((number, other));
                self.cut_links.insert((other, number));
            }
            6 => self.cut_links.clear(),
            7 => {
                for end in 0..self.nodes.len() {
                    self.cut_links.insert((number, end));
                }
            }
            8 => self.change_targets(u)?,
            _ => {
                if !self.nodes[number].dead && u.ratio(1, 3)? {
                    self.stop_daemon(number);
                }
            }
        }
        Ok(())
    }

    fn restart_daemon(&mut self, number: usize) {
        self.restarts[number] += 1;
        self.applied[number] = 0;
        let fresh = Self::new_node(number, self.now);
        let ended = std::mem::replace(&mut self.nodes[number], fresh);
        let in_flight = ended.gates.in_flight.into_inner().into_iter();
        self.orphans
            .extend(in_flight.map(|(leaf, until)| (ended.id.clone(), leaf, until)));
    }

    fn stop_daemon(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let actions = node.peer.start_stop(now, &node.gates);
        self.apply_actions(number, actions, false, &mut Unstructured::new(&[]))
            .expect("no choices are made");
    }

    fn step(&mut self, u: &mut Unstructured<'_>, faulty: bool) -> Result<()> {
        self.now.0 += STEP_MS;
        for node in &self.nodes {
            *node.gates.now.borrow_mut() = self.now;
        }
        self.apply_writes(u, faulty)?;
        self.deliver_messages(u, faulty)?;
        for number in 0..self.nodes.len() {
            if self.is_stopped(number) {
                continue;
            }
            self.read_store(number, u, faulty)?;
            self.start_requests(number, u, faulty)?;
            let now = self.now;
            let node = &mut self.nodes[number];
            if node.suspended_until.0 > 0 {
                node.suspended_until = Millis(0);
                node.peer.resume_after_suspension(now);
            }
            let actions = node.peer.tick(now, &node.gates);
            self.apply_actions(number, actions, faulty, u)?;
            if self.nodes[number].peer.has_left() && faulty {
                self.nodes[number].dead = true;
            }
        }
        self.check_single_owner();
        Ok(())
    }

    fn is_stopped(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        node.dead || node.suspended_until > self.now
    }

    /// Applies the member list and the configuration in the store, as a watch would.
    fn read_store(&mut self, number: usize, u: &mut Unstructured<'_>, faulty: bool) -> Result<()> {
        if self.store_down || self.uninformed == Some(number) || (faulty && !u.ratio(1, 4)?) {
            return Ok(());
        }
        let (list, record) = (self.list.clone(), Bytes::from(self.record.to_value()));
        let now = self.now;
        let node = &mut self.nodes[number];
        let mut actions = node.peer.apply_list(list, true, now, &node.gates);
        actions.extend(node.peer.apply_record(&record, true, now, &node.gates));
        self.apply_actions(number, actions, faulty, u)
    }

    /// Starts requests at open leaves. They end when the lease ends at the latest.
    fn start_requests(
        &mut self,
        number: usize,
        u: &mut Unstructured<'_>,
        faulty: bool,
    ) -> Result<()> {
        let max_ms = if faulty { 3_000 } else { 100 };
        let now = self.now;
        let node = &self.nodes[number];
        let until = node.peer.lease_until();
        let open: Vec<LeafId> = node.gates.open.borrow().iter().copied().collect();
        for leaf in open {
            if until > now && u.ratio(1, 10)? {
                let end = Millis(now.0 + u.int_in_range(10..=max_ms)?).min(until);
                let mut in_flight = node.gates.in_flight.borrow_mut();
                let latest = in_flight.entry(leaf).or_default();
                *latest = end.max(*latest);
            }
        }
        Ok(())
    }

    fn deliver_messages(&mut self, u: &mut Unstructured<'_>, faulty: bool) -> Result<()> {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.due_at <= self.now);
        self.messages = later;
        for pending in due {
            let to = self.nodes.iter().position(|node| node.id == pending.to);
            let Some(to) = to else { continue };
            if self.cut_links.contains(&(pending.sender, to)) || self.nodes[to].dead {
                continue;
            }
            let is_document = matches!(pending.message, Message::Document(_));
            if is_document && self.uninformed == Some(to) {
                continue;
            }
            if self.nodes[to].suspended_until > self.now {
                // A suspended process receives its messages when it resumes.
                self.messages.push(pending);
                continue;
            }
            let now = self.now;
            let node = &mut self.nodes[to];
            let actions =
                node.peer
                    .handle_message(&pending.from, pending.message, now, &node.gates);
            self.apply_actions(to, actions, faulty, u)?;
        }
        Ok(())
    }

    fn apply_actions(
        &mut self,
        number: usize,
        actions: Vec<Action>,
        faulty: bool,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if matches!(message, Message::Digest(_)) {
                        self.digests.0 += 1;
                        self.digests.1 += wire::Message::from(message.clone()).encoded_len();
                    }
                    let lost = faulty && u.ratio(1, 20)?;
                    if lost {
                        continue;
                    }
                    let delay = if faulty { u.int_in_range(0..=100)? } else { 1 };
                    self.messages.push(PendingMessage {
                        due_at: Millis(self.now.0 + delay),
                        from: self.nodes[number].peer.key(),
                        sender: number,
                        to,
                        message,
                    });
                }
                Action::Propose(change) => self.propose(number, &change, faulty, u)?,
                Action::InForce(revision) => {
                    assert!(
                        revision > self.applied[number],
                        "daemon {number} went back to revision {revision}"
                    );
                    self.applied[number] = revision;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that no leaf is used by two daemons. A daemon may use a leaf while its gate
    /// is open and its lease holds, also when it is suspended. Requests that it has sent
    /// run until their deadline, also after it has died.
    fn check_single_owner(&self) {
        let mut acting: Map<LeafId, &Name> = Map::default();
        for (id, leaf, until) in &self.orphans {
            if *until > self.now {
                acting.insert(*leaf, id);
            }
        }
        for node in &self.nodes {
            let mut leaves: Set<LeafId> = Set::default();
            if node.peer.lease_until() > self.now && !node.dead {
                leaves.extend(node.gates.open.borrow().iter());
            }
            let in_flight = node.gates.in_flight.borrow();
            let running = in_flight.iter().filter(|(_, until)| **until > self.now);
            leaves.extend(running.map(|(leaf, _)| leaf));
            for leaf in leaves {
                let before = acting.insert(leaf, &node.id);
                assert!(
                    before.is_none(),
                    "at {:?} both {before:?} and {} act on {leaf:?}",
                    self.now,
                    node.id
                );
            }
        }
    }
}
