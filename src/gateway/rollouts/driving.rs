//! What the host that drives rollouts decides: their stages, in an order of writes that another
//! host can continue after any of them. Plain state; `driver` makes the calls.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name},
        gateway::settings::RolloutRule,
        policy::rollout::{self, Fault, RolloutFacts, Step},
        state::{
            rollout_reports::RolloutReports,
            rollouts::{Directive, Order, Phase, Rollouts, Stage},
        },
        transport::{fleet::RolloutReport, registry::ConditionalWrite},
    },
    std::time::Duration,
};

/// Time after a host has begun to drive in which the reports of the others arrive.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Time in which the rate of requests isn't known well, and the share of the exposure ratio that
/// a version on trial gets until then.
const MEASURE_TIME: Duration = Duration::from_secs(3);
const FIRST_PART: f64 = 0.5;

/// Time for which hosts that do not report are waited for before a former version is given up.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// The claim of this host to drive rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Revision of its entry.
    pub revision: u64,
    /// Until when no other host can have the claim.
    pub valid_until: Millis,
}

/// One rollout that this host drives.
#[derive(Debug)]
struct Driven {
    order: Order,
    /// The stage that is decided.
    stage: Stage,
    /// The stage of this order that the registry is known to have.
    written: Option<Phase>,
    /// Revision of the stage's entry, as far as it is known; 0 for none.
    revision: u64,
    reports: RolloutReports,
    started_at: Millis,
    full_since: Millis,
    share: f64,
}

/// A stage to be written, with the revision of the entry that it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// The stage.
    pub stage: Stage,
    /// Revision of the driver's entry.
    pub claim: u64,
    /// Revision of the entry that it replaces.
    pub replaces: u64,
}

/// A stage that was decided, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The stage.
    pub stage: Stage,
    /// What is wrong with the new version.
    pub fault: Option<Fault>,
    /// The counts that it rests on.
    pub facts: RolloutFacts,
}

/// The surroundings of one round of decisions.
pub struct Round<'a> {
    /// Rollouts as this host knows them.
    pub rollouts: &'a Rollouts,
    /// Limits of a rollout.
    pub rule: &'a RolloutRule,
    /// All hosts.
    pub fleet: &'a [Name],
    /// Time on this process's clock.
    pub now: Millis,
    /// Time of day.
    pub unix_ms: u64,
}

/// The rollouts that this host drives.
#[derive(Debug, Default)]
pub struct Driving {
    claim: Option<Claim>,
    services: Map<Name, Driven>,
}

impl Driving {
    /// Starts to drive with `claim`, or extends it.
    pub fn set_claim(&mut self, claim: Claim) {
        if self
            .claim
            .is_none_or(|known| known.revision != claim.revision)
        {
            self.services.clear();
        }
        self.claim = Some(claim);
    }

    /// Ends the claim; returns it.
    pub fn drop_claim(&mut self) -> Option<Claim> {
        self.services.clear();
        self.claim.take()
    }

    /// Returns the claim, as long as no other host can have it.
    #[must_use]
    pub fn claim(&self, now: Millis) -> Option<Claim> {
        self.claim.filter(|claim| now < claim.valid_until)
    }

    /// Records a host's report and returns what it is to do; `None` without a claim.
    pub fn record_report(&mut self, report: RolloutReport, now: Millis) -> Option<Vec<Directive>> {
        self.claim(now)?;
        for service in report.services {
            let driven = self.services.get_mut(&service.service);
            let Some(driven) = driven.filter(|driven| driven.stage.order == service.order) else {
                continue;
            };
            // Another driver told the host before it could write it.
            if service.phase == Some(Phase::RolledBack) && driven.stage.phase < Phase::RolledBack {
                driven.stage.phase = Phase::RolledBack;
            }
            let reports = &mut driven.reports;
            reports.record(&report.host, report.process, service, now);
        }
        Some(
            self.services
                .values()
                .filter_map(Driven::directive)
                .collect(),
        )
    }

    /// Decides the next stages; returns those that are new.
    pub fn decide(&mut self, round: &Round<'_>) -> Vec<Decision> {
        if self.claim(round.now).is_none() {
            return Vec::new();
        }
        let open = round.rollouts.open_orders();
        self.services.retain(|service, driven| {
            let mut open = open.iter();
            open.any(|order| order.service == *service && *order == driven.order)
        });
        let mut decisions = Vec::new();
        for order in open {
            let service = order.service.clone();
            let driven = self.services.entry(service).or_insert_with(|| {
                let known = round.rollouts.stage(&order.service).cloned();
                let first = || round.rollouts.first_stage(&order, round.unix_ms);
                let stage = known.unwrap_or_else(first);
                Driven::new(order, stage, round.now)
            });
            decisions.extend(driven.decide(round));
        }
        decisions
    }

    /// Returns a stage that the registry doesn't have yet.
    #[must_use]
    pub fn next_write(&self, now: Millis) -> Option<PendingWrite> {
        let claim = self.claim(now)?.revision;
        let pending = |driven: &&Driven| driven.written != Some(driven.stage.phase);
        // A version that is taken back goes first.
        let mut driven: Vec<&Driven> = self.services.values().filter(pending).collect();
        driven.sort_by_key(|driven| driven.stage.phase != Phase::RolledBack);
        let driven = driven.first()?;
        Some(PendingWrite {
            stage: driven.stage.clone(),
            claim,
            replaces: driven.revision,
        })
    }

    /// Records the result of a write; returns whether the stage is written.
    pub fn record_write(
        &mut self,
        write: &PendingWrite,
        result: &ConditionalWrite,
        now: Millis,
    ) -> bool {
        let is_current = |driven: &&mut Driven| driven.stage.order == write.stage.order;
        let driven = self.services.get_mut(&write.stage.service);
        let Some(driven) = driven.filter(is_current) else {
            return false;
        };
        match result {
            ConditionalWrite::Written { revision, .. } => {
                driven.record_written(write.stage.phase, *revision, now);
                true
            }
            ConditionalWrite::Conflict { driver, stage } => {
                let is_ours = matches!(driver, Some((_, revision)) if *revision == write.claim);
                let revision = stage.as_ref().map_or(0, |(_, revision)| *revision);
                if !is_ours {
                    self.drop_claim();
                    return false;
                }
                driven.revision = revision;
                if let Some((stored, revision)) = stage
                    && stored.order == write.stage.order
                    && stored.phase >= write.stage.phase
                {
                    // An earlier call took effect after all.
                    driven.stage.phase = driven.stage.phase.max(stored.phase);
                    driven.record_written(stored.phase, *revision, now);
                    return true;
                }
                false
            }
        }
    }
}

impl Driven {
    fn new(order: Order, stage: Stage, now: Millis) -> Self {
        Self {
            order,
            stage,
            written: None,
            revision: 0,
            reports: RolloutReports::default(),
            started_at: now,
            full_since: now,
            share: 0.0,
        }
    }

    fn record_written(&mut self, phase: Phase, revision: u64, now: Millis) {
        if phase == Phase::Full && self.written != Some(Phase::Full) {
            self.full_since = now;
        }
        self.written = Some(phase);
        self.revision = revision;
    }

    /// Returns what hosts are to do: nothing that the registry may not have, but to take a
    /// version back, which needs no one's consent.
    fn directive(&self) -> Option<Directive> {
        let phase = match self.stage.phase {
            Phase::RolledBack => Phase::RolledBack,
            _ => self.written?,
        };
        Some(Directive {
            stage: Stage {
                phase,
                ..self.stage.clone()
            },
            share: self.share,
        })
    }

    fn decide(&mut self, round: &Round<'_>) -> Option<Decision> {
        if let Some(known) = round.rollouts.stage(&self.order.service) {
            self.stage.phase = self.stage.phase.max(known.phase);
        }
        // A stage that is being written may take effect: only a fault changes what follows, and
        // not once the former version may have ended.
        if self.stage.phase.is_final() {
            return None;
        }
        let facts = self.facts(round);
        let is_written = self.written == Some(self.stage.phase);
        let is_settled = round.now.since(self.started_at) >= SETTLE_TIME;
        let (phase, fault) = match rollout::decide(&facts) {
            Step::RollBack(fault) if is_settled => (Phase::RolledBack, Some(fault)),
            Step::Trial(share) => {
                self.share = self.limit_share(share, round);
                return None;
            }
            Step::Full if self.stage.phase == Phase::Trial && is_written && is_settled => {
                (Phase::Full, None)
            }
            Step::Complete if is_written && is_settled => (Phase::Completed, None),
            Step::Full | Step::Complete | Step::RollBack(_) => return None,
        };
        self.stage.phase = phase;
        (self.stage.all, self.stage.sent) = (facts.all, facts.sent);
        Some(Decision {
            stage: self.stage.clone(),
            fault,
            facts,
        })
    }

    /// Limits the share on trial while the rate of requests isn't known well.
    fn limit_share(&self, share: f64, round: &Round<'_>) -> f64 {
        let driven_for = round.now.since(self.started_at);
        if driven_for < SETTLE_TIME {
            0.0
        } else if driven_for < MEASURE_TIME {
            share.min(round.rule.exposure_ratio * FIRST_PART)
        } else {
            share
        }
    }

    fn facts(&self, round: &Round<'_>) -> RolloutFacts {
        let (all, sent) = self.reports.sent();
        let silent_until = self.full_since.plus(SILENT_TIME);
        let service = &self.order.service;
        let is_full = self.stage.phase == Phase::Full && self.written == Some(Phase::Full);
        RolloutFacts {
            exposure_ratio: round.rule.exposure_ratio,
            exposure_extra: round.rule.exposure_extra,
            elapsed: round.rollouts.elapsed(service, round.now, round.unix_ms),
            time: self.order.time,
            all: all.max(self.stage.all),
            sent: sent.max(self.stage.sent),
            rate: self.reports.rate(round.now),
            routes: self.reports.replies(),
            has_target: round.rollouts.is_present(service, &self.order.target),
            has_former: !self.stage.former.is_empty(),
            full_for: is_full.then(|| round.now.since(self.full_since)),
            is_moved: self
                .reports
                .is_moved(round.fleet.iter(), silent_until, round.now),
        }
    }
}
