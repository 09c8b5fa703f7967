//! Rollouts at one host: counts the replies of each version, reports them to the host that
//! drives rollouts, and keeps requests to the versions that may get them.

use {
    super::{
        Gateway,
        attempt::Outcome,
        settings::RolloutRule,
        view::{LeafHandle, lock},
    },
    crate::{
        clock::Millis,
        collections::{Map, Name, Set},
        protocol::verdict::Cause,
        state::{
            rollouts::{
                Directive, RolloutChange, Rollouts, Sample, SampleEnd, Selection, ServiceReport,
            },
            roster::Leaf,
        },
        transport::{
            fleet::{RolloutReport, RolloutService},
            registry::Registry,
        },
    },
    slog::info,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

mod driver;
pub mod driving;

use self::driving::Driving;

/// Time between two reports of a host, and while all requests of a service are being moved.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const MOVING_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the rollback time for which a host follows what the driver told it.
const CONTACT_PART: f64 = 0.4;

/// Part of the rollback time up to which a copy of the registry is trusted to be current.
const COPY_PART: f64 = 0.6;

/// The rollouts that this host knows of, and those that it drives.
pub struct RolloutSharing {
    /// Rollouts as this host knows them.
    pub state: Mutex<Rollouts>,
    /// Those that it drives.
    pub driving: Mutex<Driving>,
    /// Notified when the registry's entries have changed.
    pub changed: watch::Sender<()>,
    /// Notified when a stage is to be written.
    pub write_due: Notify,
    /// Whether rollouts restrict the choice of leaves.
    is_active: AtomicBool,
    rule: Option<RolloutRule>,
    /// Number of this process.
    process: u64,
}

/// A request that is counted for a rollout; ended when dropped.
pub struct CountedAttempt {
    gateway: Arc<Gateway>,
    sample: Sample,
    started: Instant,
    end: SampleEnd,
}

impl CountedAttempt {
    /// Records the outcome.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        self.end = match outcome {
            Outcome::Replied(reply) if reply.status.is_server_error() => SampleEnd::Failed,
            Outcome::Replied(_) => SampleEnd::Replied,
            Outcome::Failed(failed) => match failed.failure.cause {
                Cause::Crashed | Cause::Malformed if failed.arrived => SampleEnd::Failed,
                _ => SampleEnd::Unknown,
            },
        };
    }
}

impl Drop for CountedAttempt {
    fn drop(&mut self) {
        let took = self.started.elapsed();
        let mut state = lock(&self.gateway.rollouts.state);
        state.end_sample(&self.sample, self.end, took);
    }
}

impl RolloutSharing {
    /// Returns a record without rollouts; without a rule it stays empty.
    #[must_use]
    pub fn new(rule: Option<RolloutRule>) -> Self {
        Self {
            state: Mutex::default(),
            driving: Mutex::default(),
            changed: watch::Sender::default(),
            write_due: Notify::new(),
            is_active: AtomicBool::new(false),
            rule,
            process: rand::random(),
        }
    }

    /// Returns whether an order is not yet carried out.
    #[must_use]
    pub fn has_open_orders(&self) -> bool {
        !lock(&self.state).open_orders().is_empty()
    }

    fn update_activity(&self, state: &Rollouts) {
        self.is_active.store(!state.is_idle(), Ordering::Relaxed);
    }
}

impl Gateway {
    /// Applies what the registry tells of rollouts; `is_full` if that is all that it has.
    pub fn apply_rollout_changes(&self, changes: Vec<RolloutChange>, is_full: bool) {
        if self.rollouts.rule.is_none() || (changes.is_empty() && !is_full) {
            return;
        }
        for change in &changes {
            match change {
                RolloutChange::Ordered(order) => {
                    info!(self.log, "rollouts: order"; "service" => &*order.service,
                        "target" => &*order.target, "time_s" => order.time.as_secs_f64());
                }
                RolloutChange::OrderGone(service) => {
                    info!(self.log, "rollouts: order withdrawn"; "service" => &**service);
                }
                RolloutChange::Staged(stage) => {
                    info!(self.log, "rollouts: stage"; "service" => &*stage.service,
                        "target" => &*stage.target, "stage" => stage.phase.name());
                }
                RolloutChange::Driver(driver) => {
                    info!(self.log, "rollouts: driver"; "host" => &*driver.host);
                }
                RolloutChange::StageGone(_) | RolloutChange::DriverGone => {}
            }
        }
        let mut state = lock(&self.rollouts.state);
        state.apply_changes(changes, is_full, Millis::now());
        self.rollouts.update_activity(&state);
        drop(state);
        self.rollouts.changed.send_replace(());
    }

    /// Records the usable leaves.
    pub fn record_versions<'a>(&self, leaves: impl Iterator<Item = &'a Leaf>) {
        if self.rollouts.rule.is_none() {
            return;
        }
        let mut present: Map<Name, Set<Name>> = Map::default();
        for leaf in leaves {
            let versions = present.entry(leaf.service.clone()).or_default();
            versions.insert(leaf.version.clone());
        }
        let mut state = lock(&self.rollouts.state);
        state.record_leaves(present, Millis::now());
        self.rollouts.update_activity(&state);
    }

    /// Returns which versions of `service` may get requests; `None` if all may.
    #[must_use]
    pub fn select_versions(&self, service: &str) -> Option<Selection> {
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return None;
        }
        let max_age = self.rollouts.rule?.rollback_time.mul_f64(COPY_PART);
        let age = self.view_age();
        lock(&self.rollouts.state).select(service, Millis::now(), age, max_age)
    }

    /// Counts an attempt at `leaf` for the rollout of its service, if there is one; `usual` is
    /// the usual latency of replies on `route`.
    #[must_use]
    pub fn count_attempt(
        self: &Arc<Self>,
        leaf: &LeafHandle,
        route: &Name,
        usual: Duration,
    ) -> Option<CountedAttempt> {
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return None;
        }
        let Leaf {
            service, version, ..
        } = &leaf.leaf;
        let mut state = lock(&self.rollouts.state);
        let sample = state.start_sample(service, version, route, usual)?;
        drop(state);
        self.metrics.rollouts.record_send(sample.is_target());
        Some(CountedAttempt {
            gateway: Arc::clone(self),
            sample,
            started: Instant::now(),
            end: SampleEnd::Unknown,
        })
    }

    fn own_report(&self, services: Vec<ServiceReport>) -> RolloutReport {
        RolloutReport {
            host: self.settings.id.clone(),
            process: self.rollouts.process,
            services,
        }
    }
}

/// Starts the tasks of rollouts, if the settings have a rule for them.
pub fn start<R: Registry>(gateway: &Arc<Gateway>, registry: &Arc<R>, stop: &CancellationToken) {
    let Some(rule) = gateway.settings.rollout_rule else {
        return;
    };
    let gateway = || Arc::clone(gateway);
    let registry = || Arc::clone(registry);
    tokio::spawn(report_replies(gateway(), rule, stop.clone()));
    tokio::spawn(driver::hold_claim(gateway(), registry(), stop.clone()));
    tokio::spawn(driver::decide_stages(gateway(), rule, stop.clone()));
    tokio::spawn(driver::write_stages(gateway(), registry(), stop.clone()));
}

/// Reports the replies of each version to the driver while orders are open, until `stop`.
async fn report_replies(gateway: Arc<Gateway>, rule: RolloutRule, stop: CancellationToken) {
    let mut changes = gateway.rollouts.changed.subscribe();
    let mut has_failed = false;
    loop {
        let (is_open, is_moving) = {
            let state = lock(&gateway.rollouts.state);
            (!state.open_orders().is_empty(), state.is_moving())
        };
        let pause = if is_moving {
            MOVING_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause), if is_open => {}
            _ = changes.changed(), if !is_open => continue,
        }
        let (services, driver) = {
            let state = lock(&gateway.rollouts.state);
            (state.reports(), state.driver().cloned())
        };
        let (false, Some(driver)) = (services.is_empty(), driver) else {
            continue;
        };
        let until = Millis::now().plus(rule.rollback_time.mul_f64(CONTACT_PART));
        let report = gateway.own_report(services);
        let result = deliver(&gateway, &driver.host, report).await;
        gateway.metrics.rollouts.record_report(result.is_ok());
        match result {
            Ok(directives) => {
                has_failed = false;
                let mut state = lock(&gateway.rollouts.state);
                state.apply_directives(directives, until);
                gateway.rollouts.update_activity(&state);
            }
            Err(reason) if !has_failed => {
                has_failed = true;
                info!(gateway.log, "rollouts: report failed"; "driver" => &*driver.host,
                    "reason" => reason);
            }
            Err(_) => {}
        }
    }
}

/// Sends a report to the driver, which may be this host, and returns what it tells.
async fn deliver(
    gateway: &Gateway,
    driver: &Name,
    report: RolloutReport,
) -> Result<Vec<Directive>, String> {
    let reply = if *driver == gateway.settings.id {
        lock(&gateway.rollouts.driving).record_report(report, Millis::now())
    } else {
        let view = gateway.view();
        let host = view.helpers.get(driver);
        let host = host.ok_or_else(|| "the driver is not known".to_owned())?;
        let call = host.channel.report_rollouts(report);
        let reply = timeout(REPORT_TIMEOUT, call).await;
        reply.map_err(|_| "no reply in time".to_owned())??
    };
    reply.ok_or_else(|| "it does not drive rollouts".to_owned())
}

/// Takes reports of other hosts.
pub struct RolloutServer(pub Arc<Gateway>);

impl RolloutService for RolloutServer {
    fn record_report(&self, report: RolloutReport) -> Option<Vec<Directive>> {
        lock(&self.0.rollouts.driving).record_report(report, Millis::now())
    }
}
