//! Two of four hosts are partitioned from all leaves: open connections live on, new ones are
//! refused.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{Arrivals, Behaviour, Leaf},
        paths::Path,
        unable, Verdict,
    },
    std::{
        io,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const HOSTS: usize = 4;
const CUT_HOSTS: usize = 2;

/// A service that gets requests all the time, and one whose requests come together.
const SERVICES: [&str; 2] = ["pedidos", "reportes"];
const LEAVES_OF_EACH: usize = 3;

/// Time between two requests for the first service at a host.
const PAUSE_MS: u64 = 100;

/// Time between two groups of requests for the second one at a host, and their number.
const GROUP_PAUSE_MS: u64 = 4_000;
const GROUP: usize = 60;

const CALM_MS: u64 = 9_000;
const CUT_MS: u64 = 16_000;
const TOUCH_MS: u64 = 4_000;

/// Time for which clients go on after the requests that are counted.
const MORE_MS: u64 = 3_000;

/// A first try of a client.
struct Try {
    host: usize,
    sent_ms: u64,
    status: u16,
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let mut leaves = Vec::new();
    for number in 0..SERVICES.len() * LEAVES_OF_EACH {
        let service = SERVICES[number / LEAVES_OF_EACH];
        let behaviour = Behaviour {
            work: Duration::from_millis(20),
            limit: None,
            records: 100,
            crash_at: None,
            deadly: None,
            idle_s: 3,
        };
        let (id, zone) = (
            format!("i-{number}"),
            format!("zone-{}", number % LEAVES_OF_EACH),
        );
        let ip = fleet.leaf_ip(number);
        let leaf = Leaf::start(
            &id,
            service,
            &zone,
            (&ip, 0),
            24,
            behaviour,
            record,
            &arrivals,
        )?;
        leaf.register(&fleet.store, "ready", 0);
        leaves.push(leaf);
    }
    let mut cut_paths = Vec::new();
    for host in 0..HOSTS {
        let mut replaced = Vec::new();
        for (number, leaf) in leaves.iter().enumerate() {
            let path = Path::open(&fleet.path_ip(host, number), leaf.address)?;
            replaced.push((leaf.address.to_string(), path.address.to_string()));
            if host < CUT_HOSTS {
                cut_paths.push(path);
            }
        }
        let door = fleet.store.door(replaced)?;
        fleet.doors.push(door);
    }
    let routes = SERVICES.map(|service| Route {
        prefix: if service == SERVICES[0] {
            "/orders/"
        } else {
            "/reports/"
        },
        kind: "safe",
        timeout_ms: 2_000,
        objective_ms: 800,
        target: format!("\"service\":\"{service}\""),
    });
    let services = SERVICES.map(|service| fleet::service(service, 400, 0.0));
    let config = fleet::config(7, &routes, &services, "");
    fleet.store.put("op/config", &config);
    let hosts = fleet.start_hosts(HOSTS, HOSTS, &Settings::default())?;
    let start_ms = record.now_ms();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let end_ms = CALM_MS + CUT_MS + MORE_MS;
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(host, entry)| {
            let (front, record, tries) = (entry.front(), record.clone(), Arc::clone(&tries));
            thread::spawn(move || call(host, front, end_ms, &record, &tries))
        })
        .collect();
    thread::sleep(Duration::from_millis(CALM_MS));
    let cut_ms = record.now_ms();
    if has_trouble {
        record.line(&format!(
            "hosts 0 to {} are partitioned from all leaves: new connections are refused",
            CUT_HOSTS - 1
        ));
        cut_paths.iter().for_each(Path::refuse_new);
    }
    for client in clients {
        if client.join().is_err() {
            return unable("a client ended");
        }
    }
    let tries = tries.lock().unwrap();
    let served_of = |is_wanted: &dyn Fn(&Try) -> bool| {
        let wanted = tries.iter().filter(|one| is_wanted(one));
        let (mut served, mut all) = (0_usize, 0_usize);
        for one in wanted {
            all += 1;
            served += usize::from(one.status == 200);
        }
        (served, all)
    };
    let is_before = |one: &Try| one.sent_ms > start_ms + 4_000 && one.sent_ms < cut_ms;
    let counted = cut_ms + TOUCH_MS..cut_ms + CUT_MS;
    let is_counted = |one: &Try| counted.contains(&one.sent_ms);
    let before = served_of(&is_before);
    if before.0 * 50 < before.1 * 49 {
        return unable(format!("before the cut {} of {}", before.0, before.1));
    }
    let at_cut = served_of(&|one| is_counted(one) && one.host < CUT_HOSTS);
    let at_others = served_of(&|one| is_counted(one) && one.host >= CUT_HOSTS);
    let failed = at_cut.1 - at_cut.0;
    let text = format!(
        "from {TOUCH_MS} to {CUT_MS} ms after the cut began, {} of {} first tries were served at the \
         partitioned hosts and {} of {} at the others",
        at_cut.0, at_cut.1, at_others.0, at_others.1
    );
    // Served less than two thirds as often, and more than 10 + 1 in 50 of all first tries failed.
    let is_rare = at_cut.0 * 3 * at_others.1 < at_others.0 * 2 * at_cut.1;
    Ok(if is_rare && failed > 10 + (at_cut.1 + at_others.1) / 50 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Sends the requests of a host's clients, without waiting for answers.
fn call(
    host: usize,
    front: std::net::SocketAddr,
    end_ms: u64,
    record: &Record,
    tries: &Arc<Mutex<Vec<Try>>>,
) {
    let start = Instant::now();
    let mut senders = Vec::new();
    for round in 0..end_ms / PAUSE_MS {
        let due = Duration::from_millis(round * PAUSE_MS);
        thread::sleep(due.saturating_sub(start.elapsed()));
        let mut paths = vec![format!("/orders/{round}")];
        if round % (GROUP_PAUSE_MS / PAUSE_MS) == 0 {
            paths.extend((0..GROUP).map(|number| format!("/reports/{round}-{number}")));
        }
        for path in paths {
            let (record, tries) = (record.clone(), Arc::clone(tries));
            senders.push(thread::spawn(move || {
                let id = format!("r-{host}{}", path.replace('/', "-"));
                let headers = [
                    ("Host", HOST),
                    ("Request-Id", id.as_str()),
                    ("Deadline-Milliseconds", "2000"),
                ];
                let limit = Duration::from_millis(2_000);
                let sent_ms = record.now_ms();
                let answer = client::send(front, "GET", &path, &headers, b"", limit);
                let status = answer.map_or(0, |answer| answer.status());
                let took = record.now_ms() - sent_ms;
                record.line(&format!("answered: {id} with {status} after {took} ms"));
                tries.lock().unwrap().push(Try {
                    host,
                    sent_ms,
                    status,
                });
            }));
        }
    }
    for sender in senders {
        let _ = sender.join();
    }
}
