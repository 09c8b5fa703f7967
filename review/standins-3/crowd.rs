//! Clients send many large bodies of legal size at once, whole, to a route over many shards.
//! The platform kills a process that exceeds its memory, and starts it again.

use {
    crate::{
        Outcome, Verdict,
        client::{Ask, SITE, describe},
        host::{Host, Settings, loopback},
        leaf::{Leaf, Spec},
        record::Record,
        store::Store,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 3] = ["xela-centro", "mazate-norte", "zacapa-uno"];
const HOSTS: u8 = 9;
const SHARDS: usize = 20;
const MEMORY_MB: u64 = 260;

/// Hosts that the crowd calls, and clients at each of them.
const CALLED_HOSTS: usize = 3;
const CLIENTS: usize = 150;

/// The legal size of a body: `max_body_bytes`.
const BODY_BYTES: usize = 262_144;

const CROWD_TIME: Duration = Duration::from_secs(25);
const RESTART_DELAY: Duration = Duration::from_secs(1);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let store = Store::start();
    let door = store.open(&loopback(1))?;
    store.put("op/config", &config());
    let runs = Arc::default();
    for shard in 0..SHARDS {
        for (copy, zone) in ZONES[..2].iter().enumerate() {
            let spec = Spec {
                id: format!("i-ventanilla{shard}-{copy}"),
                service: format!("ventanilla{shard}"),
                zone: (*zone).to_owned(),
                slots: 2,
                queue: 12,
                work: Duration::from_millis(11),
                is_shard: true,
                idle_s: 15,
            };
            let leaf = Leaf::start(&loopback(10), spec, record, &runs, false)?;
            leaf.register(&store, "ready", 1);
        }
    }
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let settings = Settings {
            zone: ZONES[usize::from(number) % 3].to_owned(),
            memory_mb: MEMORY_MB,
            ..Settings::default()
        };
        let mut host = Host::new(&format!("front-{number}"), 50 + number)?;
        host.start(door.address, &settings)?;
        hosts.push((host, settings));
    }
    if !hosts
        .iter()
        .all(|(host, _)| host.wait_ready(Duration::from_secs(15)))
    {
        return Err("a host isn't ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    for (place, (host, _)) in hosts.iter().enumerate() {
        let sent = Instant::now();
        let answer = ask(&format!("calm{place:02}"), BODY_BYTES).send(host.front);
        record.line(&format!(
            "client: a single request of {BODY_BYTES} bytes at {} gets {}; resident {} KB",
            host.name,
            describe(&answer, sent),
            host.resident_kb()
        ));
    }

    let stop = Arc::new(AtomicBool::new(false));
    let crowd_tally: Arc<Tally> = Arc::default();
    let ordinary_tally: Arc<Tally> = Arc::default();
    let mut clients = Vec::new();
    for (place, (host, _)) in hosts.iter().enumerate() {
        let name = format!("o{place:02}");
        clients.push(call(host.front, &name, 100, 500, &stop, &ordinary_tally)?);
        if trouble && place < CALLED_HOSTS {
            record.line(&format!(
                "clients: {CLIENTS} begin to send bodies of {BODY_BYTES} bytes to {}",
                host.name
            ));
            for number in 0..CLIENTS {
                let name = format!("h{place:02}{number:03}");
                clients.push(call(host.front, &name, BODY_BYTES, 0, &stop, &crowd_tally)?);
            }
        }
    }

    let mut ends = [0; HOSTS as usize];
    let mut starts: [Option<Instant>; HOSTS as usize] = [None; HOSTS as usize];
    let (began, mut told) = (Instant::now(), Instant::now());
    while began.elapsed() < CROWD_TIME {
        thread::sleep(Duration::from_millis(50));
        for (place, (host, settings)) in hosts.iter_mut().enumerate() {
            if let Some(at) = starts[place] {
                if Instant::now() >= at {
                    record.line(&format!("platform: starts {} again", host.name));
                    host.start(door.address, settings)?;
                    starts[place] = None;
                }
                continue;
            }
            let resident = host.resident_kb();
            if resident > MEMORY_MB << 10 {
                record.say(&format!(
                    "platform: kills {}, which has {resident} KB of {} KB",
                    host.name,
                    MEMORY_MB << 10
                ));
                host.kill();
            } else if host.has_ended() {
                record.say(&format!("platform: {} has ended by itself", host.name));
            } else {
                continue;
            }
            ends[place] += 1;
            starts[place] = Some(Instant::now() + RESTART_DELAY);
        }
        if told.elapsed() > Duration::from_secs(1) {
            told = Instant::now();
            let resident: Vec<_> = hosts
                .iter()
                .map(|(host, _)| host.resident_kb() >> 10)
                .collect();
            record.line(&format!("resident, MB: {resident:?}"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!("crowd: {}", crowd_tally.words()));
    record.say(&format!("ordinary callers: {}", ordinary_tally.words()));
    let worst = hosts.iter().map(|(host, _)| host.peak_kb()).max();
    record.say(&format!(
        "ends of processes by host: {ends:?}; largest peak of those that run now: {} KB of {} KB",
        worst.unwrap_or(0),
        MEMORY_MB << 10
    ));
    let has_ended = ends.iter().any(|&ends| ends > 0);
    Ok(if has_ended {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn config() -> String {
    let names: Vec<_> = (0..SHARDS)
        .map(|shard| format!("\"ventanilla{shard}\""))
        .collect();
    let services: Vec<_> = names
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":{name},"health_path":"/health","connection_limit":26,"protocol":"h1","tls_enabled":false,"warmup_s":0.0,"warmup_per_s":0.0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"dispute","host":"{SITE}","prefix":"/dispute/","route_kind":"safe","timeout_ms":1000,"target_latency_ms":100,"priority":1,"fanout_services":[{}],"max_attempts":2,"result_limit":20,"min_shard_share":0.89}}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{BODY_BYTES},"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        names.join(","),
        services.join(",")
    )
}

fn ask(id: &str, bytes: usize) -> Ask {
    Ask {
        method: "POST",
        path: format!("/dispute/{id}"),
        id: id.to_owned(),
        deadline_ms: 1_000,
        body: vec![b'q'; bytes],
        ..Ask::default()
    }
}

/// Starts a client that sends one request after the other, each on a new connection, with
/// `pause_ms` between them, or a tenth of a second after a failure.
fn call(
    front: SocketAddr,
    name: &str,
    bytes: usize,
    pause_ms: u64,
    stop: &Arc<AtomicBool>,
    tally: &Arc<Tally>,
) -> std::io::Result<JoinHandle<()>> {
    let (name, stop, tally) = (name.to_owned(), Arc::clone(stop), Arc::clone(tally));
    thread::Builder::new().stack_size(256 << 10).spawn(move || {
        let mut turn = 0;
        while !stop.load(Ordering::Relaxed) {
            turn += 1;
            let status = ask(&format!("{name}{turn:04}"), bytes).send(front);
            let status = status.map_or(0, |answer| answer.status());
            tally.add(status);
            let pause_ms = if status == 200 {
                pause_ms
            } else {
                pause_ms.max(100)
            };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    })
}

/// Answers by status: 200, 503, 504, another one, none.
#[derive(Default)]
struct Tally([AtomicUsize; 5]);

impl Tally {
    fn add(&self, status: u16) {
        let place = match status {
            200 => 0,
            503 => 1,
            504 => 2,
            0 => 4,
            _ => 3,
        };
        self.0[place].fetch_add(1, Ordering::Relaxed);
    }

    fn words(&self) -> String {
        let [served, refused, late, other, none] =
            [0, 1, 2, 3, 4].map(|place: usize| self.0[place].load(Ordering::Relaxed));
        format!("{served} answered 200, {refused} 503, {late} 504, {other} otherwise, {none} not")
    }
}
