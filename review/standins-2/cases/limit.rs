//! The zone of leaves that state a limit is evacuated, and taken back.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{Arrivals, Behaviour, Leaf},
        unable, Verdict,
    },
    std::{
        io,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "cobros";
const LIMIT_PER_S: f64 = 2.0;
const TOUCH_MS: u64 = 4_000;

const HOSTS: usize = 9;

/// Clients of each host, and the time between two requests of one.
const CLIENTS: usize = 2;
const CLIENT_PAUSE: Duration = Duration::from_millis(200);
const EVACUATION: Duration = Duration::from_secs(5);

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let mut leaves = Vec::new();
    for number in 0..2 {
        let behaviour = Behaviour {
            work: Duration::from_millis(500),
            limit: Some(LIMIT_PER_S),
            records: 180,
            crash_at: None,
            deadly: None,
            idle_s: 10,
        };
        let ip = fleet.leaf_ip(number);
        let id = format!("i-{number}");
        let leaf = Leaf::start(
            &id,
            SERVICE,
            "zone-0",
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
        prefix: "/bill/",
        kind: "safe",
        timeout_ms: 4_000,
        objective_ms: 600,
        target: format!("\"service\":\"{SERVICE}\""),
    };
    let services = [fleet::service(SERVICE, 110, 0.0)];
    fleet
        .store
        .put("op/config", &fleet::config(7, &[route], &services, ""));
    let hosts = fleet.start_hosts(
        HOSTS,
        3,
        &Settings {
            touch_ms: TOUCH_MS,
            ..Settings::default()
        },
    )?;

    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for client in 0..CLIENTS {
            let (front, record, is_over) = (host.front(), record.clone(), Arc::clone(&is_over));
            clients.push(thread::spawn(move || {
                thread::sleep(CLIENT_PAUSE.mul_f64(client as f64 / CLIENTS as f64));
                for attempt in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("h{number}-c{client}-{attempt}");
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", &id),
                        ("Deadline-Milliseconds", "4000"),
                    ];
                    let limit = Duration::from_secs(5);
                    let answer = client::send(front, "GET", "/bill/1", &headers, b"", limit);
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("answered: {id} with {status}"));
                    thread::sleep(CLIENT_PAUSE);
                }
            }));
        }
    }
    // The leaves have named their limit for `touch_ms` and longer.
    thread::sleep(Duration::from_secs(12));
    if has_trouble {
        fleet.store.put("op/evacuate/zone-0", "{}");
        record.line("store: zone-0 is to be evacuated");
        thread::sleep(EVACUATION);
        fleet.store.delete("op/evacuate/zone-0");
        record.line("store: zone-0 is taken back");
    } else {
        thread::sleep(EVACUATION);
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let arrivals = arrivals.lock().unwrap();
    let bound = 1.5 * LIMIT_PER_S * 4.0 + 5.0;
    let mut worst = (0, String::new());
    for leaf in &leaves {
        let got: Vec<u64> = arrivals
            .iter()
            .filter(|it| it.leaf == leaf.id)
            .map(|it| it.at_ms)
            .collect();
        let named = arrivals
            .iter()
            .filter(|it| it.leaf == leaf.id)
            .filter_map(|it| it.end_ms);
        let Some(named) = named.min() else {
            return unable(format!("{} has run no request", leaf.id));
        };
        for from in got.iter().filter(|from| **from >= named + TOUCH_MS) {
            let count = got
                .iter()
                .filter(|at| (*from..from + 4_000).contains(at))
                .count();
            if count > worst.0 {
                worst = (count, format!("{} from {from} ms", leaf.id));
            }
        }
    }
    let text = format!(
        "at most {} requests reached a leaf in four seconds ({}); with Server-Limit {LIMIT_PER_S} \
         the bound is {bound}",
        worst.0, worst.1
    );
    Ok(if worst.0 as f64 > bound {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
