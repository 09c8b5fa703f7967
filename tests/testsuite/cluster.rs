//! A deployment whose store, targets and daemons are separate processes.

use {
    crate::support::{
        PROCESS_TIMEOUT, Process, daemon_settings, example, run_tool, start_daemon, start_tool,
        status, stderr_file, unused_address, wait_until,
    },
    briarquay::{Settings, coordination::members::witness_count, coordinator::status::Status},
    bytes::Bytes,
    hyper::Method,
    standin::{
        History, Relay,
        history::{Timed, read_file},
        store::Fault,
    },
    std::{
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Number of leaves in the declaration that [`Cluster`] applies.
const LEAF_COUNT: usize = 115;

/// Store, targets and daemons as processes, with the example declaration
/// `quetzaltenango.yaml` applied.
pub struct Cluster {
    folder: TempDir,
    store: Process,
    /// Address of the store.
    pub store_address: SocketAddr,
    fleet: Process,
    /// Settings and process of each daemon.
    pub daemons: Vec<(Settings, Process)>,
    relays: Vec<DaemonRelays>,
}

/// Relays for the connections to and from a daemon, with which a test partitions the
/// network.
struct DaemonRelays {
    /// In front of the daemon.
    peer: Relay,
    /// Between the daemon and the store.
    store: Relay,
}

impl DaemonRelays {
    /// Starts the relays of a daemon and directs its settings to them.
    async fn start(settings: &mut Settings) -> Self {
        let peer = settings.peer_address;
        // A relay on the daemon's own IP could get the port that the daemon is yet to bind.
        let ip = unused_address().ip();
        let relay = async |upstream| Relay::start(ip, upstream).await.expect("a port");
        let relays = Self {
            peer: relay(peer).await,
            store: relay(settings.store_address).await,
        };
        settings.announced_address = Some(relays.peer.address());
        settings.store_address = relays.store.address();
        relays
    }
}

impl Cluster {
    /// Starts a cluster of `count` daemons and waits until each leaf has an owner.
    pub async fn start(count: usize) -> Self {
        Self::start_processes(count, false).await
    }

    /// Starts a cluster as [`Cluster::start`] does, in which daemons can be partitioned
    /// from each other and from the store.
    pub async fn start_with_relays(count: usize) -> Self {
        Self::start_processes(count, true).await
    }

    async fn start_processes(count: usize, with_relays: bool) -> Self {
        let folder = TempDir::new().expect("a folder is made");
        let path = |name: &str| folder.path().join(name).display().to_string();
        let store_history = path("store.jsonl");
        let (store, address) = start_tool(&[
            "standin",
            "store",
            "--listen",
            "127.0.0.1:0",
            "--history",
            &store_history,
        ]);
        let store_address: SocketAddr = address.parse().expect("an address");
        let declaration = example("quetzaltenango.yaml").display().to_string();
        let (readdressed, fleet_history) = (path("declaration.yaml"), path("fleet.jsonl"));
        let (fleet, _) = start_tool(&[
            "standin",
            "fleet",
            "--declaration",
            &declaration,
            "--readdress",
            &readdressed,
            "--warm",
            "--history",
            &fleet_history,
        ]);
        let mut daemons: Vec<(Settings, Process)> = Vec::new();
        let mut relays = Vec::new();
        for number in 1..=count {
            let others = daemons.iter();
            let seeds: Vec<SocketAddr> = others.map(|(one, _)| one.reachable_address()).collect();
            let mut settings = daemon_settings(number, store_address, &seeds);
            if with_relays {
                relays.push(DaemonRelays::start(&mut settings).await);
            }
            let process = start_daemon(&folder, &settings);
            daemons.push((settings, process));
        }
        let cluster = Self {
            folder,
            store,
            store_address,
            fleet,
            daemons,
            relays,
        };
        cluster.apply_declaration(&readdressed).await;
        cluster
    }

    async fn apply_declaration(&self, file: &str) {
        let operator = self.daemons[0].0.operator_address;
        wait_until("a daemon answers operators", || async {
            status(operator).await.is_some()
        })
        .await;
        let daemon = operator.to_string();
        let (code, text) = run_tool(&[
            "apply", file, "--reason", "first", "--daemon", &daemon, "--wait", "30",
        ]);
        assert_eq!(code, 0, "{text}");
        self.settled().await;
    }

    /// Waits until every leaf has an owner and every member has the required number of
    /// witnesses. Fails the test when that takes longer than [`PROCESS_TIMEOUT`].
    pub async fn settled(&self) {
        let give_up_at = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let statuses = self.statuses().await;
            let owned: usize = statuses.iter().flatten().map(|status| status.owned).sum();
            let is_witnessed = statuses.iter().flatten().all(|status| {
                let required = witness_count(status.members.len());
                status
                    .members
                    .iter()
                    .all(|member| member.witnesses >= required)
            });
            if owned == LEAF_COUNT && is_witnessed && statuses.iter().all(Option::is_some) {
                return;
            }
            assert!(
                Instant::now() < give_up_at,
                "not settled: {statuses:#?}\n{}",
                self.daemon_stderr()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the standard error of all daemons.
    fn daemon_stderr(&self) -> String {
        let outputs = self.daemons.iter().map(|(settings, _)| {
            let output = std::fs::read_to_string(stderr_file(&self.folder, settings));
            format!("{}: {}", settings.id, output.expect("a file is kept"))
        });
        outputs.collect::<Vec<_>>().join("\n")
    }

    async fn statuses(&self) -> Vec<Option<Status>> {
        let mut statuses = Vec::new();
        for (settings, _) in &self.daemons {
            statuses.push(status(settings.operator_address).await);
        }
        statuses
    }

    /// Starts a daemon again with the same settings.
    pub fn restart(&mut self, number: usize) {
        let settings = self.daemons[number].0.clone();
        let process = start_daemon(&self.folder, &settings);
        self.daemons[number] = (settings, process);
    }

    /// Partitions `isolated` from all other daemons, in both directions, and also from
    /// the store if `from_store` is set.
    pub fn isolate_daemons(&self, isolated: &[usize], from_store: bool) {
        for one in isolated {
            for other in (0..self.daemons.len()).filter(|other| !isolated.contains(other)) {
                self.partition_pair(*one, other);
            }
            if from_store {
                self.relays[*one].store.block_all();
            }
        }
    }

    /// Partitions two daemons from each other, in both directions.
    pub fn partition_pair(&self, one: usize, other: usize) {
        let ip = |number: usize| self.daemons[number].0.peer_address.ip();
        self.relays[one].peer.block_source(ip(other));
        self.relays[other].peer.block_source(ip(one));
    }

    /// Ends all network partitions.
    pub fn end_partitions(&self) {
        for relays in &self.relays {
            relays.peer.unblock_all();
            relays.store.unblock_all();
        }
    }

    /// Makes the store fail every call with status 503, or ends that fault.
    pub async fn store_down(&self, down: bool) {
        let fault = Fault {
            down,
            ..Fault::default()
        };
        let body = Bytes::from(serde_json::to_vec(&fault).expect("a fault has a JSON form"));
        standin::http::once(self.store_address, Method::POST, "/v1/fault", body)
            .await
            .expect("the store accepts the fault");
    }

    /// Returns the caller addresses of all daemons.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let settings = self.daemons.iter().map(|(settings, _)| settings);
        settings.map(|settings| settings.caller_address).collect()
    }

    /// Returns the events of `callers` and of the targets, ordered by time.
    pub fn events(&self, callers: &History) -> Vec<Timed> {
        let file: PathBuf = self.folder.path().join("fleet.jsonl");
        let mut events = callers.events();
        events.extend(read_file(&file).expect("the targets' history"));
        events.sort_by_key(|timed| timed.at_us);
        events
    }

    /// Returns whether the stand-in processes of the store and the targets still run.
    pub fn is_alive(&mut self) -> bool {
        let runs = |process: &mut Process| matches!(process.child.try_wait(), Ok(None));
        runs(&mut self.store) && runs(&mut self.fleet)
    }
}
