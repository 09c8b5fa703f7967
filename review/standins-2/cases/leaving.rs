//! A leaf leaves while the store is down.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{Arrivals, Behaviour, Leaf},
        unable, Verdict,
    },
    std::{
        collections::HashMap,
        io,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "pricing-desk";
const DRAIN_MS: u64 = 3_000;

/// Time for which the store is down.
const DOWN: Duration = Duration::from_millis(4_500);
const CLIENT_PAUSE: Duration = Duration::from_millis(100);

/// What a client has seen of a request.
struct Sent {
    host: usize,
    at_ms: u64,
    /// When its answer with `Server-Leaving` came.
    told_ms: Option<u64>,
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let mut leaves = Vec::new();
    for number in 0..3 {
        let behaviour = Behaviour {
            work: Duration::from_millis(30),
            limit: None,
            records: 180,
            is_leaving: false,
        };
        let (id, zone) = (format!("i-{number}"), format!("zone-{number}"));
        let ip = fleet.leaf_ip(number);
        let leaf = Leaf::start(
            &id,
            SERVICE,
            &zone,
            (&ip, 0),
            6,
            behaviour,
            record,
            &arrivals,
        )?;
        leaf.register(&fleet.store, "ready", 0);
        leaves.push(leaf);
    }
    let route = Route {
        prefix: "/price/",
        kind: "safe",
        timeout_ms: 6_000,
        objective_ms: 600,
        target: format!("\"service\":\"{SERVICE}\""),
    };
    let services = [fleet::service(SERVICE, 48, 0.0)];
    fleet
        .store
        .put("op/config", &fleet::config(7, &[route], &services, ""));
    let hosts = fleet.start_hosts(
        3,
        3,
        &Settings {
            drain_ms: DRAIN_MS,
            ..Settings::default()
        },
    )?;

    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(host, entry)| {
            let (front, record) = (entry.front(), record.clone());
            let (is_over, sent) = (Arc::clone(&is_over), Arc::clone(&sent));
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("h{host}-{number}");
                    let at_ms = record.now_ms();
                    sent.lock().unwrap().insert(
                        id.clone(),
                        Sent {
                            host,
                            at_ms,
                            told_ms: None,
                        },
                    );
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", &id),
                        ("Deadline-Milliseconds", "6000"),
                    ];
                    let limit = Duration::from_secs(7);
                    let answer = client::send(front, "GET", "/price/1", &headers, b"", limit);
                    let is_leaving = answer
                        .as_ref()
                        .is_ok_and(|answer| answer.header("server-leaving").is_some());
                    let status = answer.map_or(0, |answer| answer.status());
                    let word = if is_leaving {
                        ", from a leaf that leaves"
                    } else {
                        ""
                    };
                    record.line(&format!("answered: {id} with {status}{word}"));
                    if is_leaving {
                        let told_ms = Some(record.now_ms());
                        sent.lock()
                            .unwrap()
                            .entry(id)
                            .and_modify(|sent| sent.told_ms = told_ms);
                    }
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let leaving = &leaves[0];
    if has_trouble {
        fleet.store.set_silent(true);
        record.line("the store is down");
        thread::sleep(Duration::from_millis(100));
        leaving.behaviour.lock().unwrap().is_leaving = true;
        record.line(&format!("leaf {} leaves", leaving.id));
    }
    thread::sleep(DOWN);
    if has_trouble {
        leaving.register(&fleet.store, "draining", 0);
        fleet.store.set_silent(false);
        record.line("the store is back");
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    if arrivals.is_empty() {
        return unable("no request reached a leaf");
    }
    let told = |host: usize| {
        let answers = sent.values().filter(|sent| sent.host == host);
        answers.filter_map(|sent| sent.told_ms).min()
    };
    let told: Vec<Option<u64>> = (0..hosts.len()).map(told).collect();
    let mut late = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.leaf == leaving.id) {
        let Some(sent) = sent.get(&arrival.id) else {
            continue;
        };
        if let Some(told) = told[sent.host].filter(|told| sent.at_ms > told + DRAIN_MS) {
            late.push(format!("{} after {} ms", arrival.id, sent.at_ms - told));
        }
    }
    let text = format!(
        "{} requests reached {} from hosts that had passed on its Server-Leaving more than \
         {DRAIN_MS} ms before they were sent: {}",
        late.len(),
        leaving.id,
        late.join(", ")
    );
    Ok(if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
