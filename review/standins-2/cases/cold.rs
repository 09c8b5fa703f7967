//! The leaves of a zone are down and come back cold.

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

const SERVICE: &str = "milonga-desk";
const HOSTS: usize = 18;
const WARMUP_PER_S: f64 = 5.0;
const WARMUP_MS: u64 = 5_000;

/// `warmup_overage` and `warmup_slack`.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A cold leaf ends at the first request beyond the rule's bound.
const CRASH_AT: usize = 13;

const WORK: Duration = Duration::from_millis(90);
const COLD_WORK: Duration = Duration::from_millis(144);

/// Time between two requests of a client; each host has one client.
const CLIENT_PAUSE: Duration = Duration::from_millis(200);

/// Time after which the store drops the entry of a silent leaf: three check-ins of 1.2 s.
const EXPIRY: Duration = Duration::from_millis(3_600);
const DOWN: Duration = Duration::from_millis(4_500);

fn start_leaf(
    fleet: &Fleet,
    number: usize,
    crash_at: Option<usize>,
    record: &Record,
    arrivals: &Arrivals,
) -> io::Result<Leaf> {
    let id = format!("i-{number}");
    let work = if crash_at.is_some() { COLD_WORK } else { WORK };
    let behaviour = Behaviour {
        work,
        limit: None,
        records: 180,
        crash_at,
        deadly: None,
        idle_s: 10,
    };
    let ip = fleet.leaf_ip(number);
    Leaf::start(
        &id,
        SERVICE,
        "zone-0",
        (&ip, 0),
        2,
        behaviour,
        record,
        arrivals,
    )
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let mut leaves = Vec::new();
    for number in 0..2 {
        let leaf = start_leaf(&fleet, number, None, record, &arrivals)?;
        leaf.register(&fleet.store, "ready", 0);
        leaves.push(leaf);
    }
    let route = Route {
        prefix: "/card/",
        kind: "unsafe",
        timeout_ms: 4_000,
        objective_ms: 400,
        target: format!("\"service\":\"{SERVICE}\""),
    };
    let services = [fleet::service(SERVICE, 110, WARMUP_PER_S)];
    fleet
        .store
        .put("op/config", &fleet::config(7, &[route], &services, ""));
    let hosts = fleet.start_hosts(HOSTS, 3, &Settings::default())?;

    let is_over = Arc::new(AtomicBool::new(false));
    let sent_at: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(client, host)| {
            let (front, record) = (host.front(), record.clone());
            let (is_over, sent_at) = (Arc::clone(&is_over), Arc::clone(&sent_at));
            let statuses = Arc::clone(&statuses);
            thread::spawn(move || {
                thread::sleep(CLIENT_PAUSE.mul_f64(client as f64 / HOSTS as f64));
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    sent_at.lock().unwrap().insert(id.clone(), record.now_ms());
                    let headers = [
                        ("Host", HOST),
                        ("Request-Id", &id),
                        ("Deadline-Milliseconds", "4000"),
                    ];
                    let limit = Duration::from_secs(5);
                    let answer = client::send(front, "POST", "/card/1", &headers, b"card", limit);
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("answered: {id} with {status}"));
                    statuses.lock().unwrap().insert(id, status);
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut cold = Vec::new();
    if has_trouble {
        for leaf in &leaves {
            leaf.crash();
        }
        thread::sleep(EXPIRY);
        for leaf in &leaves {
            fleet.store.delete(&format!("servers/{}", leaf.id));
        }
        thread::sleep(DOWN - EXPIRY);
        for number in 0..2 {
            cold.push(start_leaf(
                &fleet,
                number + 2,
                Some(CRASH_AT),
                record,
                &arrivals,
            )?);
        }
        for leaf in &cold {
            leaf.register(&fleet.store, "ready", WARMUP_MS);
        }
    } else {
        thread::sleep(DOWN);
    }
    let cold_from = record.now_ms();
    thread::sleep(Duration::from_millis(WARMUP_MS));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let arrivals = arrivals.lock().unwrap();
    if arrivals.is_empty() {
        return unable("no request reached a leaf");
    }
    let bound = WARMUP_PER_S * OVERAGE + SLACK;
    let sent_at = sent_at.lock().unwrap();
    let mut worst = (0, String::new());
    for leaf in &cold {
        let got: Vec<(u64, u64)> = arrivals
            .iter()
            .filter(|it| it.leaf == leaf.id && it.at_ms < cold_from + WARMUP_MS)
            .map(|it| (sent_at.get(&it.id).copied().unwrap_or(0), it.at_ms))
            .collect();
        for (from, _) in &got {
            let is_inside = |(sent, at): &&(u64, u64)| sent >= from && *at < from + 1_000;
            let count = got.iter().filter(is_inside).count();
            if count > worst.0 {
                worst = (count, format!("{} from {from} ms", leaf.id));
            }
        }
    }
    let statuses = statuses.lock().unwrap();
    let is_lost = |id: &String| statuses.get(id).is_none_or(|status| *status != 200);
    let at_cold = arrivals
        .iter()
        .filter(|it| cold.iter().any(|leaf| leaf.id == it.leaf));
    let lost = at_cold
        .filter(|it| it.at_ms < cold_from + WARMUP_MS && is_lost(&it.id))
        .count();
    let text = format!(
        "at most {} requests were sent and reached a cold leaf in one second ({}); the bound is \
         {bound} ({WARMUP_PER_S} x {OVERAGE} + {SLACK}); {lost} \
         requests that cold leaves had taken were lost",
        worst.0, worst.1
    );
    Ok(if worst.0 as f64 > bound {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
