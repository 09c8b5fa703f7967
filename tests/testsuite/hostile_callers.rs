//! Callers that hold bodies open: a daemon's memory stays bounded, and others are served.

use {
    crate::cluster::Cluster,
    briarquay::Settings,
    standin::{
        History,
        client::{Ask, Caller},
    },
    std::{fs, net::SocketAddr, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        sync::{Mutex, MutexGuard},
        task::JoinSet,
        time::timeout,
    },
};

/// Memory of the daemon's machine.
const MEMORY_KB: usize = 160 << 10;

/// Connections that the daemon takes, and the descriptors that it may have open: as many again
/// for its own.
const CONNECTIONS: usize = 700;
const DESCRIPTORS: usize = CONNECTIONS * 2;

/// Largest body that the daemon allows.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Time that a body may take; longer than any of these tests.
const READ_MS: u64 = 120_000;

/// Limit on each caller's sending, only against hanging.
const HANG_TIME: Duration = Duration::from_mins(1);

/// Deadline of an ordinary query.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time in which an ordinary query must be answered once, while the machine may be busy.
const SOON: Duration = Duration::from_secs(15);

/// Held by the running test: the crowds of two would be one larger crowd.
static TURN: Mutex<()> = Mutex::const_new(());

/// A cluster of one daemon whose callers may hold bodies open for long.
struct Watched {
    cluster: Cluster,
    _turn: MutexGuard<'static, ()>,
}

impl Watched {
    async fn start() -> Self {
        let turn = TURN.lock().await;
        let mut cluster = Cluster::start(1).await;
        let (settings, process) = &mut cluster.daemons[0];
        settings.read_ms = READ_MS;
        settings.caller_connections = CONNECTIONS;
        settings.body_limit = MAX_BODY_BYTES;
        process.child.kill().expect("it runs");
        process.child.wait().expect("it ends");
        cluster.restart(0);
        cluster.settled().await;
        Self {
            cluster,
            _turn: turn,
        }
    }

    fn settings(&self) -> &Settings {
        &self.cluster.daemons[0].0
    }

    /// Checks that the daemon lives within its limits beside the crowd, and serves others.
    async fn assert_serves_beside(&mut self, crowd: Vec<TcpStream>) {
        let entry = self.settings().caller_address;
        let process = format!("/proc/{}", self.cluster.daemons[0].1.child.id());
        let descriptors = fs::read_dir(format!("{process}/fd")).expect("it lives");
        let descriptors = descriptors.count();
        let peak = peak_kb(&process);
        println!("peak {peak} KB, {descriptors} descriptors");
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
        assert!(
            peak <= MEMORY_KB,
            "{peak} KB of memory at most, {MEMORY_KB} KB allowed"
        );
        let caller = Caller::new(entry, History::new());
        let answered = timeout(SOON, async {
            for number in 0.. {
                let ask = Ask::query("ventanilla", &format!("ordinary-{number}"), DEADLINE);
                if caller.ask(&ask).await.total > 0 {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        assert!(answered.await.is_ok(), "an ordinary query is answered");
        drop(crowd);
        assert!(peak_kb(&process) <= MEMORY_KB, "{} KB", peak_kb(&process));
    }
}

/// Returns the most memory that a process had resident.
fn peak_kb(process: &str) -> usize {
    let status = fs::read_to_string(format!("{process}/status")).expect("it lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let size = line.expect("a peak").trim().trim_end_matches(" kB");
    size.parse().expect("a number")
}

/// Connects `count` callers that each send `bytes`, all at once, and stay. The daemon may close
/// any of them.
async fn gather(entry: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut callers = JoinSet::new();
    for _ in 0..count {
        let bytes = bytes.to_vec();
        let send = async move {
            let mut stream = TcpStream::connect(entry).await.ok()?;
            for piece in bytes.chunks(16 << 10) {
                stream.write_all(piece).await.ok()?;
                tokio::task::yield_now().await;
            }
            Some(stream)
        };
        callers.spawn(async move { timeout(HANG_TIME, send).await.ok().flatten() });
    }
    let streams = callers.join_all().await;
    let is_read = timeout(HANG_TIME, async {
        while unread_bytes(entry) > 0 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    is_read
        .await
        .expect("the daemon reads what it has received");
    streams.into_iter().flatten().collect()
}

/// Returns the bytes that the kernel has received on connections to `address`, and that the
/// process has not read.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let sockets = fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    let unread = sockets.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // Established connections; the queue of a listener counts connections.
        let is_caller = fields.get(1) == Some(&&*local) && fields.get(3) == Some(&"01");
        let (_, unread) = fields.get(4)?.split_once(':')?;
        is_caller.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    unread.sum()
}

fn head(framing: &str) -> Vec<u8> {
    let path = "/v1/services/ventanilla/query";
    format!("POST {path} HTTP/1.1\r\nhost: entry\r\n{framing}\r\n\r\n").into_bytes()
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_just_short_of_their_end_leave_memory_for_others() {
    let mut daemon = Watched::start().await;
    let mut body = head(&format!("content-length: {MAX_BODY_BYTES}"));
    body.resize(body.len() + MAX_BODY_BYTES - 1, b'x');

    let crowd = gather(daemon.settings().caller_address, 650, &body).await;

    daemon.assert_serves_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_leave_memory_for_others() {
    let mut daemon = Watched::start().await;
    let mut body = head("transfer-encoding: chunked");
    body.extend_from_slice("1\r\nx\r\n".repeat(MAX_BODY_BYTES - 1).as_bytes());

    let crowd = gather(daemon.settings().caller_address, 40, &body).await;

    daemon.assert_serves_beside(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_no_whole_head_do_not_keep_others_out() {
    let mut daemon = Watched::start().await;

    let crowd = gather(daemon.settings().caller_address, 900, b"POST").await;

    daemon.assert_serves_beside(crowd).await;
}
