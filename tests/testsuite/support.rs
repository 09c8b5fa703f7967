//! Child processes, addresses and settings that the tests share.

use {
    briarquay::{coordinator::status::Status, settings::Settings},
    bytes::Bytes,
    hyper::Method,
    std::{
        fs::File,
        io::{BufRead, BufReader},
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Time within which separate processes must reach an expected state.
pub const PROCESS_TIMEOUT: Duration = Duration::from_mins(1);

/// A child process, killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Sends a signal to this process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(status.expect("kill runs").success());
    }
}

/// Starts `briarquay` with `args` and returns the text after `ready` in its first line.
pub fn start_tool(args: &[&str]) -> (Process, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_briarquay"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("briarquay starts");
    let stdout = child.stdout.take().expect("stdout is piped");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("a line is read");
    let value = line.strip_prefix("ready ").expect("it says ready").trim();
    (Process { child }, value.to_owned())
}

/// Runs `briarquay` with `args` until it exits; returns its exit code and its output.
pub fn run_tool(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_briarquay"))
        .args(args)
        .output()
        .expect("briarquay runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap_or(-1), text)
}

/// Returns a loopback address whose IP no other process of the tests binds or connects
/// from, so that its port stays free while a daemon starts or restarts.
pub fn unused_address() -> SocketAddr {
    static NUMBER: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NUMBER.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(64 + std::process::id() % 128).expect("below 192");
    let listener = TcpListener::bind(SocketAddr::from(([127, process, high, low], 0)));
    let address = listener.expect("loopback binds").local_addr();
    address.expect("it has an address")
}

/// Returns the path in `folder` of the file with the standard error of a daemon.
pub fn stderr_file(folder: &TempDir, settings: &Settings) -> PathBuf {
    folder.path().join(format!("{}.err", settings.id))
}

/// Writes `settings` to a file in `folder` and starts a daemon process with it.
pub fn start_daemon(folder: &TempDir, settings: &Settings) -> Process {
    let path = folder.path().join(format!("{}.yaml", settings.id));
    let text = serde_yaml_ng::to_string(settings).expect("settings have a YAML form");
    std::fs::write(&path, text).expect("settings are written");
    let stderr = File::options()
        .create(true)
        .append(true)
        .open(stderr_file(folder, settings))
        .expect("a file is made");
    let child = Command::new(env!("CARGO_BIN_EXE_briarquayd"))
        .arg("--settings")
        .arg(&path)
        .stderr(stderr)
        .spawn()
        .expect("briarquayd starts");
    Process { child }
}

/// Returns the settings of daemon `number`, with addresses that no other process uses.
pub fn daemon_settings(number: usize, store: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    Settings {
        id: format!("entry-{number}").into(),
        domain: format!("domain-{}", number % 3).into(),
        caller_address: unused_address(),
        peer_address: unused_address(),
        operator_address: unused_address(),
        store_address: store,
        seeds: seeds.to_vec(),
        drain_ms: 300,
        threads: 2,
        ..Settings::default()
    }
}

/// Returns the status of a daemon, or `None` when it doesn't respond.
pub async fn status(operator: SocketAddr) -> Option<Status> {
    let reply = standin::http::once(operator, Method::GET, "/v1/status", Bytes::new()).await;
    serde_json::from_slice(&reply.ok()?.1).ok()
}

/// Waits until `is_true` returns true; fails the test after [`PROCESS_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut is_true: impl FnMut() -> F) {
    let give_up_at = Instant::now() + PROCESS_TIMEOUT;
    while !is_true().await {
        assert!(
            Instant::now() < give_up_at,
            "{what}: not within {PROCESS_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the path of an example declaration.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}
