//! Requests under which leaves ended: admits their attempts, records the ends, and shares them
//! with the other hosts through the registry.

use {
    super::{
        Gateway,
        attempt::{Outcome, OutgoingRequest},
        crash_check::{self, LeafCheck},
        view::{LeafHandle, View, lock},
    },
    crate::{
        clock::{Millis, millis},
        collections::Name,
        policy::sync_source,
        protocol::fingerprint::Fingerprint,
        state::{
            roster::Roster,
            suspects::{Admission, Crash, CrashChange, CrashId, Suspects},
            unproven_ends::UnprovenEnds,
        },
        transport::registry::Registry,
    },
    slog::{info, warn},
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
};

/// Times after which a leaf that seemed to run is checked again: a process that ends may close
/// its connections before its listener.
const RECHECK_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(300)];

/// Time for which a leaf that seemed to run at all checks is not checked again.
const RUNNING_TTL: Duration = Duration::from_millis(500);

/// Shortest time between two reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest delay after which a host reports again what a restored registry lacks. The hosts
/// choose theirs at random, and only the first need to report.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(2);

/// Largest age of this host's copy of the registry with which it shows that a leaf runs.
const MAX_CHECK_AGE: Duration = Duration::from_secs(2);

/// The requests under which leaves ended, as this host knows them.
pub struct CrashRecords {
    suspects: Mutex<Suspects>,
    unproven: Mutex<UnprovenEnds>,
    report_due: Notify,
}

impl Default for CrashRecords {
    fn default() -> Self {
        Self {
            suspects: Mutex::new(Suspects::new(rand::random())),
            unproven: Mutex::default(),
            report_due: Notify::new(),
        }
    }
}

/// An attempt of a suspect request, until it is dropped.
pub struct SuspectAttempt {
    gateway: Arc<Gateway>,
    fingerprint: Fingerprint,
    service: Name,
}

/// Why a request must not be sent to a leaf now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A suspect is in flight.
    Wait,
    /// The request is held.
    Held,
}

/// What proves that a leaf has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// Another leaf accepts connections.
    OtherLeaf,
    /// The registry dropped the leaf, and the others that accepted no connection.
    Registry,
}

impl EndProof {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OtherLeaf => "other_leaf",
            Self::Registry => "registry",
        }
    }
}

/// One attempt at a leaf, as far as it shows whether the request crashes leaves.
pub struct JudgedAttempt {
    /// The leaf.
    pub leaf: Arc<LeafHandle>,
    /// The request.
    pub outgoing: Arc<OutgoingRequest>,
    /// Other leaves, of which one shows whether this host is cut off.
    pub view: Arc<View>,
    /// Whether the request was suspect when the attempt began.
    pub is_repeat: bool,
}

impl Gateway {
    /// Returns whether `outgoing` may be sent to a leaf of `service`, with what must be kept
    /// until its attempt has ended if it is suspect.
    ///
    /// # Errors
    ///
    /// Fails with the reason when it may not.
    pub fn admit_suspect(
        self: &Arc<Self>,
        outgoing: &OutgoingRequest,
        service: &Name,
    ) -> Result<Option<SuspectAttempt>, Refusal> {
        let mut suspects = lock(&self.crashes.suspects);
        if suspects.is_empty() {
            return Ok(None);
        }
        let fingerprint = outgoing.fingerprint();
        match suspects.admit(fingerprint, service, Instant::now()) {
            Admission::Free => Ok(None),
            Admission::Alone => Ok(Some(SuspectAttempt {
                gateway: Arc::clone(self),
                fingerprint,
                service: service.clone(),
            })),
            Admission::Wait => Err(Refusal::Wait),
            Admission::Held(_) => Err(Refusal::Held),
        }
    }

    /// Returns whether leaves have ended under the request.
    #[must_use]
    pub fn is_suspect(&self, outgoing: &OutgoingRequest) -> bool {
        let suspects = lock(&self.crashes.suspects);
        !suspects.is_empty() && suspects.is_suspect(outgoing.fingerprint())
    }

    /// Returns for how long no leaf gets the request; `None` if it is not held.
    #[must_use]
    pub fn held_for(&self, outgoing: &OutgoingRequest) -> Option<Duration> {
        let suspects = lock(&self.crashes.suspects);
        if suspects.is_empty() {
            return None;
        }
        suspects.held_for(outgoing.fingerprint(), Instant::now())
    }

    /// Records what the outcome of an attempt shows about its request.
    pub async fn judge_outcome(self: &Arc<Self>, attempt: JudgedAttempt, outcome: &Outcome) {
        match outcome {
            Outcome::Replied(_) => self.record_reply(&attempt.outgoing),
            Outcome::Failed(_) if outcome.is_broken() => {
                let leaf = Arc::clone(&attempt.leaf);
                self.add_unproven(&attempt);
                let is_checked = leaf.is_known_running(Instant::now());
                if is_checked || self.check_broken(&attempt).await == LeafCheck::Ended {
                    return;
                }
                // One task checks the leaf again for all requests that it breaks off.
                leaf.record_running(Instant::now() + RECHECK_DELAYS.iter().sum::<Duration>());
                let gateway = Arc::clone(self);
                tokio::spawn(async move {
                    let mut check = LeafCheck::Running;
                    for delay in RECHECK_DELAYS {
                        sleep(delay).await;
                        check = gateway.check_broken(&attempt).await;
                        if check == LeafCheck::Ended {
                            return;
                        }
                    }
                    if check == LeafCheck::Running {
                        lock(&gateway.crashes.unproven).take(&leaf.leaf.start());
                    }
                    leaf.record_running(Instant::now() + RUNNING_TTL);
                });
            }
            Outcome::Failed(_) => {}
        }
    }

    /// Records that a leaf has replied to the request, to this host or another one.
    pub fn record_reply(&self, outgoing: &OutgoingRequest) {
        outgoing.record_reply();
        let mut unproven = lock(&self.crashes.unproven);
        if !unproven.is_empty() {
            unproven.clear(outgoing.fingerprint());
        }
        drop(unproven);
        let mut suspects = lock(&self.crashes.suspects);
        if suspects.is_empty() {
            return;
        }
        let leaves = suspects.clear(outgoing.fingerprint());
        drop(suspects);
        if leaves > 0 {
            self.crashes.report_due.notify_one();
            info!(self.log, "crashes: a leaf replied to the request; it is cleared";
                "request" => &*outgoing.id, "fingerprint" => %outgoing.fingerprint(), "leaves" => leaves);
        }
    }

    /// Adds an attempt whose leaf broke the connection, until it is known whether the leaf has
    /// ended.
    fn add_unproven(&self, attempt: &JudgedAttempt) {
        // A leaf that has left the view may end as planned. And where another leaf has replied to
        // the request, it isn't what ended this one.
        if attempt.outgoing.has_reply() || !self.view().has_leaf(&attempt.leaf) {
            return;
        }
        let leaf = &attempt.leaf.leaf;
        let crash = Crash {
            id: CrashId::new(attempt.outgoing.fingerprint(), leaf),
            leaf: leaf.id.clone(),
            is_repeat: attempt.is_repeat,
        };
        lock(&self.crashes.unproven).add(leaf.start(), crash, Instant::now());
    }

    /// Checks whether the leaf that broke a connection has ended, and records its end under all
    /// requests that it had. Returns what the check has shown.
    async fn check_broken(&self, attempt: &JudgedAttempt) -> LeafCheck {
        let leaf = &attempt.leaf.leaf;
        let check = crash_check::check_leaf(&attempt.view, &attempt.leaf).await;
        self.metrics.record_broken_connection(&check);
        info!(self.log, "crash_check: leaf broke the connection of a request";
            "request" => &*attempt.outgoing.id, "leaf" => &*leaf.id,
            "started_ms" => leaf.started_ms, "leaf_is" => check.name());
        let start = leaf.start();
        match &check {
            LeafCheck::Ended => {
                let crashes = lock(&self.crashes.unproven).take(&start);
                self.record_ends(crashes, EndProof::OtherLeaf);
            }
            LeafCheck::Running => {}
            LeafCheck::Unknown(witnesses) => {
                let mut unproven = lock(&self.crashes.unproven);
                unproven.record_witnesses(&start, witnesses.clone());
            }
        }
        check
    }

    /// Records the ends of leaves that `roster` proves.
    pub fn prove_ends(&self, roster: &Roster) {
        let mut unproven = lock(&self.crashes.unproven);
        if unproven.is_empty() {
            return;
        }
        let ended = roster.ended_starts();
        let proven = unproven.take_proven(|leaf| ended.has_ended(leaf), Instant::now());
        drop(unproven);
        self.record_ends(proven, EndProof::Registry);
    }

    fn record_ends(&self, crashes: Vec<Crash>, proof: EndProof) {
        for crash in crashes {
            self.metrics.record_leaf_end(proof);
            let (id, leaf, is_repeat) = (crash.id, crash.leaf.clone(), crash.is_repeat);
            let suspicion = lock(&self.crashes.suspects).record_crash(crash, Instant::now());
            if let Some(suspicion) = suspicion {
                self.crashes.report_due.notify_one();
                warn!(self.log, "crashes: leaf ended under a request"; "fingerprint" => %id.fingerprint,
                    "leaf" => &*leaf, "proof" => proof.name(), "repeat" => is_repeat,
                    "leaves" => suspicion.leaves, "hold_ms" => millis(suspicion.hold));
            }
        }
    }

    /// Applies what the registry tells of ends. `copy` is whether that is all that it has.
    pub fn apply_crash_changes(&self, changes: Vec<CrashChange>, copy: Option<CopyKind>) {
        let mut suspects = lock(&self.crashes.suspects);
        let now = Instant::now();
        if let Some(kind) = copy {
            let delay = (kind == CopyKind::Restored)
                .then(|| MAX_RESTORE_DELAY.mul_f64(rand::random::<f64>()));
            suspects.apply_copy(&changes, delay, now);
        }
        for change in changes {
            let crash = match &change {
                CrashChange::Reported(crash) => Some(crash.clone()),
                CrashChange::Withdrawn(_) => None,
            };
            let suspicion = suspects.apply_change(change, now);
            if let (Some(crash), Some(suspicion)) = (crash, suspicion) {
                info!(self.log, "crashes: another host saw a leaf end under a request";
                    "fingerprint" => %crash.id.fingerprint, "leaf" => &*crash.leaf,
                    "repeat" => crash.is_repeat, "leaves" => suspicion.leaves,
                    "hold_ms" => millis(suspicion.hold));
            }
        }
        drop(suspects);
        self.crashes.report_due.notify_one();
    }

    /// Withdraws the ends of leaves that the registry still has: they renew their entries.
    fn check_ends(&self) {
        let due = lock(&self.crashes.suspects).take_due_checks(Instant::now());
        let suspect_left = self.registry_copy.sync_status(Millis::now()).suspect_left;
        let is_current = self.view_age() < MAX_CHECK_AGE && suspect_left.is_zero();
        if due.is_empty() || !is_current {
            return;
        }
        let view = self.view();
        let leaves = view.services.values().flat_map(|service| &service.leaves);
        let running: Vec<&Arc<LeafHandle>> = leaves.collect();
        for crash in due {
            let fingerprint = crash.id.fingerprint;
            let is_running = |leaf: &&Arc<LeafHandle>| {
                leaf.leaf.id == crash.leaf && CrashId::new(fingerprint, &leaf.leaf) == crash.id
            };
            if running.iter().copied().any(|leaf| is_running(&leaf)) {
                lock(&self.crashes.suspects).withdraw(crash.id);
                info!(self.log, "crashes: leaf has not ended"; "fingerprint" => %fingerprint,
                    "leaf" => &*crash.leaf);
            }
        }
    }
}

/// Why a complete copy of the registry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyKind {
    /// Changes are missing.
    Current,
    /// The registry was restored from an older copy.
    Restored,
}

impl Drop for SuspectAttempt {
    fn drop(&mut self) {
        lock(&self.gateway.crashes.suspects).release(self.fingerprint, &self.service);
    }
}

/// Reports ends to the registry until `stop`.
pub async fn report_crashes<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    stop: CancellationToken,
) {
    let mut failures = 0;
    loop {
        let now = Instant::now();
        let (due, held) = {
            let suspects = lock(&gateway.crashes.suspects);
            (suspects.next_due(now), suspects.held_count(now))
        };
        gateway.metrics.record_held_requests(held);
        let next = async {
            match due {
                Some(due) => sleep_until(due.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = gateway.crashes.report_due.notified() => continue,
            () = next => {}
        }
        gateway.check_ends();
        lock(&gateway.crashes.suspects).expire(Instant::now());
        let reports = lock(&gateway.crashes.suspects).due_reports(Instant::now());
        if reports.is_empty() {
            continue;
        }
        let written = registry.report_crashes(&reports).await;
        gateway.metrics.record_registry_call(written.is_ok());
        let pause = match written {
            Ok(_) => {
                failures = 0;
                lock(&gateway.crashes.suspects).record_reports(&reports);
                REPORT_INTERVAL
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    warn!(gateway.log, "crashes: report failed"; "error" => %error);
                }
                sync_source::retry_delay(failures)
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause) => {}
        }
    }
}
