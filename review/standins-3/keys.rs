//! A key is taken away. Then the store comes back from a copy some seconds old, and a host is
//! started again before the operator has written its configuration again.

use {
    crate::{
        Outcome, Verdict,
        client::{Ask, describe},
        host::{Host, Settings, loopback},
        leaf::{Leaf, Run, Spec},
        record::Record,
        store::{Mode, Store},
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const REVOCATION: Duration = Duration::from_millis(5_000);

/// Time from the return of the store until the operator has noticed, and writes its
/// configuration again.
const OPERATOR_DELAY: Duration = Duration::from_secs(2);

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"fetch","host":"desk.example","prefix":"/fetch/","route_kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"archive","max_attempts":2}}],
"services":[{{"name":"archive","health_path":"/health","connection_limit":60,"protocol":"h1","tls_enabled":false,"warmup_s":0.0,"warmup_per_s":0.0}}],
"tenants":[{{"name":"cantina","api_keys":[{keys}],"rate_per_s":0,"burst":0,"priority":2}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let store = Store::start();
    let door = store.open(&loopback(1))?;
    store.put("op/config", &config(7, r#""key-kept","key-taken""#));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 1..=2 {
        let spec = Spec {
            id: format!("i-archive-{number}"),
            service: "archive".to_owned(),
            zone: "xela-centro".to_owned(),
            slots: 4,
            queue: 8,
            work: Duration::from_millis(20),
            is_shard: false,
            idle_s: 15,
        };
        let leaf = Leaf::start(&loopback(10 + number), spec, record, &runs, true)?;
        leaf.register(&store, "ready", 1);
    }
    let mut hosts = Vec::new();
    for (number, zone) in [
        (21, "xela-centro"),
        (22, "mazate-norte"),
        (23, "zacapa-uno"),
    ] {
        hosts.push((Host::new(&format!("front-{zone}"), number)?, zone));
    }
    let seeds: Vec<_> = hosts.iter().map(|(host, _)| host.control).collect();
    let settings = |zone: &str| {
        Settings {
        zone: zone.to_owned(),
        drain_ms: 5_000,
        more_bounds: r#","strict_revocation":true,"revocation_ms":5000,"quota_window_s":5,"quota_overage":0.1,"quota_slack":20"#.to_owned(),
        seeds: seeds.clone(),
        ..Settings::default()
    }
    };
    for (host, zone) in &mut hosts {
        host.start(door.address, &settings(zone))?;
    }
    if !hosts
        .iter()
        .all(|(host, _)| host.wait_ready(Duration::from_secs(10)))
    {
        return Err("a host isn't ready".into());
    }
    sleep(Duration::from_millis(6_000));

    // Clients with either key call all hosts all the while.
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for (host, zone) in &hosts {
        for key in ["key-kept", "key-taken"] {
            let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), record.clone());
            let (front, zone) = (host.front, (*zone).to_owned());
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let ask = Ask {
                        method: "GET",
                        path: format!("/fetch/{number}"),
                        id: format!("{key}-{zone}-{number}"),
                        deadline_ms: 2_000,
                        key: Some(key.to_owned()),
                        ..Ask::default()
                    };
                    let at = Instant::now();
                    let answer = ask.send(front);
                    record.line_at(
                        at,
                        &format!("client: sends {}, gets {}", ask.id, describe(&answer, at)),
                    );
                    let status = answer.map_or(0, |answer| answer.status());
                    sent.lock().unwrap().push((ask.id, at, status));
                    sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    sleep(Duration::from_secs(2));
    let copy = store.copy();
    record.line("store: a copy is made");
    sleep(Duration::from_secs(1));
    let confirmed = store.put("op/config", &config(8, r#""key-kept""#));
    record.line_at(confirmed, "store: confirms version 8, without key-taken");
    let after =
        |ms: u64| (confirmed + Duration::from_millis(ms)).saturating_duration_since(Instant::now());
    sleep(after(2_200));
    if trouble {
        let (host, zone) = &mut hosts[1];
        record.line(&format!("platform: SIGTERM to {}", host.name));
        host.signal("TERM");
        sleep(after(5_200));
        record.line("store: away");
        door.set(Mode::Busy);
        sleep(Duration::from_millis(500));
        store.restore(copy);
        door.set(Mode::Open);
        let back = Instant::now();
        record.line("store: back, from the copy");
        while !host.has_ended() && back.elapsed() < Duration::from_secs(7) {
            sleep(Duration::from_millis(20));
        }
        let has_ended = host.has_ended();
        record.line(&format!(
            "{} has ended: {has_ended}; starts again",
            host.name
        ));
        host.kill();
        host.start(door.address, &settings(zone))?;
        sleep(OPERATOR_DELAY.saturating_sub(back.elapsed()));
        let written = store.put("op/config", &config(8, r#""key-kept""#));
        record.line_at(written, "store: confirms version 8 again");
    }
    sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    let late: Vec<_> = sent
        .iter()
        .filter(|(id, at, _)| {
            id.starts_with("key-taken")
                && *at > confirmed + REVOCATION
                && runs.iter().any(|run| run.id == *id)
        })
        .collect();
    for (id, at, status) in &late {
        record.line(&format!(
            "late: {id} was sent {} ms after the confirmation, ran, and got {status}",
            (*at - confirmed).as_millis()
        ));
    }
    let count = |key: &str, status: u16| {
        sent.iter()
            .filter(|(id, _, got)| id.starts_with(key) && *got == status)
            .count()
    };
    record.say(&format!(
        "key-kept: {} answered 200, {} 401, {} 503, {} not; key-taken: {} answered 200, {} 401",
        count("key-kept", 200),
        count("key-kept", 401),
        count("key-kept", 503),
        count("key-kept", 0),
        count("key-taken", 200),
        count("key-taken", 401),
    ));
    record.say(&format!(
        "requests with key-taken that were sent later than {} ms after the confirmation and ran: {}",
        REVOCATION.as_millis(),
        late.len()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
