//! Requests under which leaves ended.
//!
//! A request may crash each leaf that runs it, and come again at any host. Hosts recognise it by
//! its fingerprint and tell each other through the registry which leaves have ended under it.
//! Most requests that are in the slots of a leaf when it ends have nothing to do with that. So a
//! request is only suspect after the first end: it is sent to one leaf at a time, and the first
//! reply clears it. Leaves that end under a suspect put it on hold, and no leaf gets it.

use {
    super::roster::Leaf,
    crate::{
        collections::{Map, Name, Set, hash},
        protocol::fingerprint::Fingerprint,
    },
    std::time::{Duration, Instant},
};

/// Shortest hold of a request that has crashed a leaf as a suspect. The leaves that have ended
/// are back by then, so that the next one is not the last of its service.
const MIN_SHORT_HOLD: Duration = Duration::from_secs(4);

/// Longest such hold. It differs between requests, so that an innocent one that was twice in the
/// slots beside the request that crashed the leaves doesn't meet it a third time.
const MAX_SHORT_HOLD: Duration = Duration::from_secs(8);

/// Hold of a request that has crashed two leaves as a suspect; doubled for each further one. A
/// request that goes on crashing leaves gets to two more in a day.
const LONG_HOLD: Duration = Duration::from_hours(4);

/// Maximum number of doublings of [`LONG_HOLD`].
const MAX_DOUBLINGS: u32 = 3;

/// Time before the end of a leaf is reported that had the request before it was suspect: most
/// suspects are cleared within it.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Time after which the registry no longer has a leaf that has ended: three missed heartbeats,
/// and some more.
const EXPIRY_TIME: Duration = Duration::from_secs(6);

/// Time after the hold of a request, or the last end of a leaf without one, in which it is
/// remembered.
const MEMORY_TIME: Duration = Duration::from_hours(24);

/// Longest time by which a host remembers requests longer than others do, so that few hosts
/// withdraw the same reports.
const MAX_EXTRA_TIME: Duration = Duration::from_mins(1);

/// Ends that are remembered, for all requests.
const MAX_CRASHES: usize = 1_024;

/// Ends that one report adds or withdraws at most.
const MAX_REPORTED: usize = 15;

/// Names the end of one start of a leaf under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hash of the leaf and its start.
    pub start: u64,
}

/// The end of one start of a leaf under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Its name.
    pub id: CrashId,
    /// The leaf.
    pub leaf: Name,
    /// Whether the request was suspect already when this leaf got it.
    pub is_repeat: bool,
}

/// A change that the registry tells of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// A host has reported an end.
    Reported(Crash),
    /// A report was withdrawn, by a host or an operator.
    Withdrawn(CrashId),
}

/// Whether a request may be sent to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may: no leaf has ended under it.
    Free,
    /// It may, to one leaf, as a suspect. [`Suspects::release`] ends that.
    Alone,
    /// Not now: it, or another suspect of the service, is at a leaf.
    Wait,
    /// It may not for this long.
    Held(Duration),
}

/// What is known of a request after another leaf has ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Leaves that have ended under it.
    pub leaves: usize,
    /// Time for which it is held.
    pub hold: Duration,
}

/// Reports that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reports {
    /// Ends that the registry does not have.
    pub added: Vec<Crash>,
    /// Ends that it should no longer have.
    pub withdrawn: Vec<CrashId>,
}

impl Reports {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.withdrawn.is_empty()
    }
}

/// Requests under which leaves ended.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: Map<Fingerprint, Suspect>,
    /// Services at which a suspect is in flight.
    busy_services: Set<Name>,
    /// Reports to withdraw.
    withdrawals: Vec<CrashId>,
    crash_count: usize,
    /// Time by which this host remembers requests longer than others.
    extra_time: Duration,
}

#[derive(Debug)]
struct Suspect {
    crashes: Vec<KnownCrash>,
    held_until: Instant,
    learned_at: Instant,
    is_in_flight: bool,
}

#[derive(Debug)]
struct KnownCrash {
    crash: Crash,
    /// When the registry should have it; `None` once it has.
    report_due: Option<Instant>,
    /// When this host looks whether the registry has dropped the leaf; `None` for an end that
    /// another host has seen.
    check_due: Option<Instant>,
}

impl CrashId {
    /// Names the end of `leaf` under the request.
    #[must_use]
    pub fn new(fingerprint: Fingerprint, leaf: &Leaf) -> Self {
        Self {
            fingerprint,
            start: hash(&leaf.id, leaf.started_ms),
        }
    }
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            held_until: now,
            learned_at: now,
            is_in_flight: false,
        }
    }

    /// Returns how many times leaves ended: those that had the request before any end was known
    /// count once, since a request to many shards is at all of them at the same time.
    fn rounds(&self) -> usize {
        let repeats = self.crashes.iter().filter(|known| known.crash.is_repeat);
        let repeats = repeats.count();
        repeats + usize::from(repeats < self.crashes.len())
    }
}

impl Suspects {
    /// Returns a record without requests. `draw`, from 0 to 1, should differ between hosts.
    #[must_use]
    pub fn new(draw: f64) -> Self {
        Self {
            extra_time: MAX_EXTRA_TIME.mul_f64(draw),
            ..Self::default()
        }
    }

    /// Returns whether no request is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests that are held.
    #[must_use]
    pub fn held_count(&self, now: Instant) -> usize {
        let suspects = self.requests.values();
        suspects.filter(|suspect| now < suspect.held_until).count()
    }

    /// Returns whether leaves have ended under the request.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.requests.contains_key(&fingerprint)
    }

    /// Returns for how long no leaf gets the request; `None` if it is not held.
    #[must_use]
    pub fn held_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let left = suspect.held_until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Decides whether the request may be sent to a leaf of `service`.
    pub fn admit(&mut self, fingerprint: Fingerprint, service: &Name, now: Instant) -> Admission {
        if let Some(left) = self.held_for(fingerprint, now) {
            return Admission::Held(left);
        }
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return Admission::Free;
        };
        if suspect.is_in_flight || self.busy_services.contains(service) {
            return Admission::Wait;
        }
        suspect.is_in_flight = true;
        self.busy_services.insert(service.clone());
        Admission::Alone
    }

    /// Ends what [`Admission::Alone`] allowed.
    pub fn release(&mut self, fingerprint: Fingerprint, service: &Name) {
        self.busy_services.remove(service);
        if let Some(suspect) = self.requests.get_mut(&fingerprint) {
            suspect.is_in_flight = false;
        }
    }

    /// Records an end that this host has seen; `None` if it is known.
    pub fn record_crash(&mut self, crash: Crash, now: Instant) -> Option<Suspicion> {
        let fingerprint = crash.id.fingerprint;
        let report_due = if crash.is_repeat {
            now
        } else {
            now + REPORT_DELAY
        };
        let known = KnownCrash {
            crash,
            report_due: Some(report_due),
            check_due: Some(now + EXPIRY_TIME),
        };
        let is_new = self.add(known, now);
        is_new.then(|| self.update_hold(fingerprint, now))
    }

    /// Clears the request, since a leaf has replied to it. Returns how many leaves had ended.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> usize {
        self.forget(fingerprint, true)
    }

    /// Forgets the request, and withdraws its reports if `withdraws`. Returns how many leaves had
    /// ended.
    fn forget(&mut self, fingerprint: Fingerprint, withdraws: bool) -> usize {
        let Some(suspect) = self.requests.remove(&fingerprint) else {
            return 0;
        };
        self.crash_count -= suspect.crashes.len();
        if withdraws {
            let stored = suspect.crashes.iter();
            let stored = stored.filter(|known| known.report_due.is_none());
            self.withdrawals.extend(stored.map(|known| known.crash.id));
        }
        suspect.crashes.len()
    }

    /// Applies a change that the registry tells of. Returns what is known of the request if
    /// another leaf has ended under it.
    pub fn apply_change(&mut self, change: CrashChange, now: Instant) -> Option<Suspicion> {
        match change {
            CrashChange::Reported(crash) => {
                let id = crash.id;
                if let Some(known) = self.find(id) {
                    known.report_due = None;
                    return None;
                }
                let known = KnownCrash {
                    crash,
                    report_due: None,
                    check_due: None,
                };
                self.add(known, now);
                Some(self.update_hold(id.fingerprint, now))
            }
            CrashChange::Withdrawn(id) => {
                if self
                    .find(id)
                    .is_some_and(|known| known.report_due.is_none())
                {
                    self.remove(id);
                }
                None
            }
        }
    }

    /// Applies a complete copy of the registry. What it lacks was withdrawn, or, if the registry
    /// was restored from an older copy, is reported again after `report_delay`.
    pub fn apply_copy(
        &mut self,
        changes: &[CrashChange],
        report_delay: Option<Duration>,
        now: Instant,
    ) {
        let reported = changes.iter().filter_map(|change| match change {
            CrashChange::Reported(crash) => Some(crash.id),
            CrashChange::Withdrawn(_) => None,
        });
        let reported: Set<CrashId> = reported.collect();
        let mut missing: Vec<CrashId> = Vec::new();
        for known in self.requests.values_mut().flat_map(|it| &mut it.crashes) {
            if known.report_due.is_some() || reported.contains(&known.crash.id) {
                continue;
            }
            match report_delay {
                Some(delay) => known.report_due = Some(now + delay),
                None => missing.push(known.crash.id),
            }
        }
        for id in missing {
            self.remove(id);
        }
    }

    /// Returns when the next report or check is due.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let crashes = self.requests.values().flat_map(|it| &it.crashes);
        let due = crashes.flat_map(|known| [known.report_due, known.check_due]);
        let withdrawal = (!self.withdrawals.is_empty()).then_some(now);
        let expiries = self.requests.values().map(|it| self.expires_at(it));
        due.flatten().chain(withdrawal).chain(expiries).min()
    }

    /// Forgets requests under which no leaf has ended for long, and withdraws their reports.
    pub fn expire(&mut self, now: Instant) {
        let requests = self.requests.iter();
        let expired = requests.filter(|(_, suspect)| now >= self.expires_at(suspect));
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in expired {
            self.clear(fingerprint);
        }
    }

    fn expires_at(&self, suspect: &Suspect) -> Instant {
        suspect.held_until + MEMORY_TIME + self.extra_time
    }

    /// Returns the reports that are due.
    #[must_use]
    pub fn due_reports(&self, now: Instant) -> Reports {
        let crashes = self.requests.values().flat_map(|it| &it.crashes);
        let due = crashes.filter(|known| known.report_due.is_some_and(|due| now >= due));
        let withdrawn = self.withdrawals.iter().take(MAX_REPORTED);
        Reports {
            added: due
                .take(MAX_REPORTED)
                .map(|known| known.crash.clone())
                .collect(),
            withdrawn: withdrawn.copied().collect(),
        }
    }

    /// Records that the registry has taken `reports`.
    pub fn record_reports(&mut self, reports: &Reports) {
        self.withdrawals
            .retain(|id| !reports.withdrawn.contains(id));
        for crash in &reports.added {
            match self.find(crash.id) {
                Some(known) => known.report_due = None,
                // Cleared while the report was on its way.
                None => self.withdrawals.push(crash.id),
            }
        }
    }

    /// Returns the ends that this host has seen and whose leaves the registry should have
    /// dropped by now. Each is returned once.
    pub fn take_due_checks(&mut self, now: Instant) -> Vec<Crash> {
        let crashes = self.requests.values_mut().flat_map(|it| &mut it.crashes);
        let due = crashes.filter_map(|known| {
            known.check_due.take_if(|due| now >= *due)?;
            Some(known.crash.clone())
        });
        due.collect()
    }

    /// Withdraws an end that was none: the leaf runs.
    pub fn withdraw(&mut self, id: CrashId) {
        let Some(known) = self.find(id) else { return };
        if known.report_due.is_none() {
            self.withdrawals.push(id);
        }
        self.remove(id);
    }

    fn find(&mut self, id: CrashId) -> Option<&mut KnownCrash> {
        let suspect = self.requests.get_mut(&id.fingerprint)?;
        let mut crashes = suspect.crashes.iter_mut();
        crashes.find(|known| known.crash.id == id)
    }

    /// Adds an end; returns false if it is known.
    fn add(&mut self, known: KnownCrash, now: Instant) -> bool {
        let id = known.crash.id;
        if self.find(id).is_some() {
            return false;
        }
        if self.crash_count >= MAX_CRASHES {
            // Other hosts drop something too: only one withdraws it for all.
            self.drop_least(id.fingerprint, known.check_due.is_some());
        }
        let suspect = self.requests.entry(id.fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        suspect.crashes.push(known);
        self.crash_count += 1;
        true
    }

    /// Forgets the request, other than `kept`, with the fewest ends; of several, the one that
    /// is known longest.
    fn drop_least(&mut self, kept: Fingerprint, withdraws: bool) {
        let others = self.requests.iter().filter(|(other, _)| **other != kept);
        let least = others.min_by_key(|(_, suspect)| (suspect.rounds(), suspect.learned_at));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.forget(fingerprint, withdraws);
        }
    }

    fn remove(&mut self, id: CrashId) {
        let Some(suspect) = self.requests.get_mut(&id.fingerprint) else {
            return;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|known| known.crash.id != id);
        self.crash_count -= before - suspect.crashes.len();
        if hold(suspect.rounds(), id.fingerprint).is_zero() {
            suspect.held_until = suspect.learned_at;
        }
        if suspect.crashes.is_empty() {
            self.requests.remove(&id.fingerprint);
        }
    }

    fn update_hold(&mut self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return Suspicion {
                leaves: 0,
                hold: Duration::ZERO,
            };
        };
        let hold = hold(suspect.rounds(), fingerprint);
        suspect.held_until = suspect.held_until.max(now + hold);
        Suspicion {
            leaves: suspect.crashes.len(),
            hold,
        }
    }
}

/// Returns for how long a request is held after `rounds` of ends.
fn hold(rounds: usize, fingerprint: Fingerprint) -> Duration {
    match rounds {
        0 | 1 => Duration::ZERO,
        2 => {
            let span = MAX_SHORT_HOLD.saturating_sub(MIN_SHORT_HOLD);
            MIN_SHORT_HOLD + span.mul_f64(fingerprint.fraction())
        }
        rounds => {
            let doublings = u32::try_from(rounds - 3).unwrap_or(MAX_DOUBLINGS);
            LONG_HOLD * 2_u32.pow(doublings.min(MAX_DOUBLINGS))
        }
    }
}
