//! A complete deployment in one process: stand-ins for the platform and the targets, and this
//! library's daemons, all on loopback.
//!
//! The demo, the load tool, the benchmark and the tests use it.

use {
    crate::{
        clock::unix_ms,
        collections::Name,
        coordination::rollout::Submission,
        coordinator::submit::Submitted,
        daemon::Daemon,
        declaration::Declaration,
        settings::{LogFormat, Routing, Settings},
    },
    eyre::{OptionExt, Result, bail, eyre},
    standin::{Event, Fleet, History, StoreStandin, fleet::Addresses, target::Behaviour},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::broadcast::error::RecvError,
        time::{Instant, sleep},
    },
};

/// Time in which a deployment must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval of polling a deployment's status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Declaration (YAML). Its addresses are replaced by those of the stand-ins.
    pub document: String,
    /// Number of daemons.
    pub daemons: usize,
    /// Which daemons send to leaves.
    pub routing: Routing,
    /// Behaviour of every target.
    pub behaviour: Behaviour,
    /// Whether targets start warm.
    pub warm: bool,
    /// Length of a lease, milliseconds.
    pub lease_ms: u64,
    /// Time between failing readiness and rejecting callers, milliseconds.
    pub drain_ms: u64,
    /// Seed of the targets' work times.
    pub seed: u64,
    /// Log format of the daemons.
    pub log: LogFormat,
}

impl Plan {
    /// Returns a plan of `daemons` daemons with owner routing, warm targets and no logs.
    #[must_use]
    pub fn new(document: &str, daemons: usize) -> Self {
        let defaults = Settings::default();
        Self {
            document: document.to_owned(),
            daemons,
            routing: Routing::Owners,
            behaviour: Behaviour::default(),
            warm: true,
            lease_ms: defaults.lease_ms,
            drain_ms: 100,
            seed: 1,
            log: LogFormat::Off,
        }
    }
}

/// A running deployment.
pub struct Deployment {
    /// Stand-in for the platform's store and host list.
    pub store: StoreStandin,
    /// Stand-ins for the targets.
    pub fleet: Fleet,
    /// Events of the deployment.
    pub history: History,
    /// Running daemons.
    pub daemons: Vec<Daemon>,
    plan: Plan,
    domains: Vec<Name>,
    started_daemons: usize,
}

impl Deployment {
    /// Starts the stand-ins and the daemons, submits the first revision, and waits until every
    /// leaf has an owner.
    ///
    /// # Errors
    ///
    /// Fails when the document is invalid or the deployment is not ready in time.
    pub async fn start(plan: Plan) -> Result<Self> {
        let history = History::new();
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(loopback, history.clone()).await?;
        let fleet = Fleet::start(
            &plan.document,
            Addresses::Loopback,
            &plan.behaviour,
            plan.seed,
            &history,
        )
        .await?;
        if plan.warm {
            fleet.warm_up();
        }
        let declaration =
            Declaration::parse(fleet.document()).map_err(|problems| eyre!("{problems}"))?;
        let domains = declaration.domains.iter();
        let mut deployment = Self {
            store,
            history,
            daemons: Vec::new(),
            domains: domains.map(|domain| domain.name.clone()).collect(),
            plan,
            fleet,
            started_daemons: 0,
        };
        for _ in 0..deployment.plan.daemons {
            deployment.add_daemon().await?;
        }
        let document = deployment.fleet.document().to_owned();
        deployment.apply(0, document, "first revision").await?;
        deployment.settle().await?;
        Ok(deployment)
    }

    /// Starts one more daemon.
    ///
    /// # Errors
    ///
    /// Fails when the daemon can't start.
    pub async fn add_daemon(&mut self) -> Result<()> {
        let settings = self.daemon_settings(self.started_daemons);
        self.started_daemons += 1;
        let daemon = Daemon::start(settings).await?;
        self.record_revisions(&daemon);
        self.daemons.push(daemon);
        Ok(())
    }

    fn daemon_settings(&self, index: usize) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            id: format!("entry-{}", index + 1).into(),
            domain: self.domains[index % self.domains.len()].clone(),
            caller_address: any,
            peer_address: any,
            operator_address: any,
            store_address: self.store.address,
            seeds: self.daemons.iter().map(Daemon::peer_address).collect(),
            routing: self.plan.routing,
            lease_ms: self.plan.lease_ms,
            drain_ms: self.plan.drain_ms,
            log: self.plan.log,
            ..Settings::default()
        }
    }

    fn record_revisions(&self, daemon: &Daemon) {
        let mut revisions = daemon.revisions();
        let history = self.history.clone();
        let id = daemon.id().to_string();
        // A restarted daemon is a new member in the history, so each start gets its own term.
        let term = unix_ms();
        tokio::spawn(async move {
            loop {
                match revisions.recv().await {
                    Ok(revision) => history.add(Event::Applied {
                        daemon: id.clone(),
                        term,
                        revision,
                    }),
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                }
            }
        });
    }

    /// Submits a document to the first daemon and returns the accepted revision.
    ///
    /// # Errors
    ///
    /// Fails when the document is not accepted or no daemon runs.
    pub async fn apply(&self, base: u64, document: String, why: &str) -> Result<u64> {
        let daemon = self.daemons.first().ok_or_eyre("no daemon runs")?;
        let submission = Submission {
            id: format!("{:016x}", rand::random::<u64>()).into(),
            base,
            who: "deployment".to_owned(),
            why: why.to_owned(),
            document,
        };
        match daemon.submit(&submission).await {
            Submitted::Accepted(revision) => Ok(revision),
            other => bail!("submission: {other:?}"),
        }
    }

    /// Waits until every leaf has exactly one owner, all daemons have the same epoch and
    /// revision, and each can be fenced by the others. With direct routing only epoch and
    /// revision count.
    ///
    /// # Errors
    ///
    /// Fails when the deployment is not ready within 30 s.
    pub async fn settle(&self) -> Result<()> {
        let leaves: usize = self
            .fleet
            .targets()
            .iter()
            .map(|target| target.spec().leaves.len())
            .sum();
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_settled(leaves) {
            if Instant::now() > deadline {
                let states: Vec<_> = self.daemons.iter().map(Daemon::status).collect();
                bail!("deployment: not ready after {READY_TIMEOUT:?}: {states:#?}");
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_settled(&self, leaves: usize) -> bool {
        let states: Vec<_> = self.daemons.iter().map(Daemon::status).collect();
        let Some(first) = states.first() else {
            return false;
        };
        let in_agreement = states
            .iter()
            .all(|state| state.epoch == first.epoch && state.revision == first.revision);
        match self.plan.routing {
            Routing::Direct => in_agreement && first.revision > 0,
            Routing::Owners => {
                let owned: usize = states.iter().map(|state| state.owned).sum();
                let all_leased = states.iter().all(|state| state.leased);
                let members = &first.members;
                // A member without further witnesses can't be fenced when it crashes.
                let is_witnessed =
                    members.len() < 3 || members.iter().all(|member| member.witnesses > 1);
                in_agreement
                    && all_leased
                    && is_witnessed
                    && owned == leaves
                    && members.len() == states.len()
            }
        }
    }

    /// Returns the addresses for callers.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::caller_address).collect()
    }
}
