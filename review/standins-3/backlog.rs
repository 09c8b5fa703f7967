//! Many users come at once, so that requests wait in the hosts for a free connection, and one of
//! the leafs of their service is emptied and taken away meanwhile.

use {
    crate::{
        Outcome, Verdict,
        client::{Ask, describe},
        host::{Host, Settings, loopback},
        leaf::{Leaf, Run, Spec},
        record::Record,
        store::Store,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread::{self, JoinHandle, sleep},
        time::{Duration, Instant},
    },
};

const LEAFS: u8 = 6;
const WORK: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_millis(5_000);

/// Time for which the leaf goes on serving after `DRAIN`, before it exits.
const LINGER: Duration = Duration::from_millis(1_000);

/// Requests a second at each host in usual times: 11 parts in 12 of what its connections carry.
const USUAL_RATE: f64 = 11.0;

/// Times as many in the burst, its begin and its length, seconds.
const BURST: (f64, f64, f64) = (1.7, 3.0, 3.0);

/// Time after the begin of the traffic at which the leaf reports that it is draining.
const DRAIN_AT: Duration = Duration::from_secs(6);

/// Length of the traffic, seconds.
const TRAFFIC_S: f64 = 16.0;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"fetch","host":"desk.example","prefix":"/fetch/","route_kind":"unsafe","timeout_ms":15000,"target_latency_ms":800,"priority":2,"service":"archive","max_attempts":2}],
"services":[{"name":"archive","health_path":"/health","connection_limit":6,"protocol":"h1","tls_enabled":false,"warmup_s":0.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

type Answers = Arc<Mutex<Vec<(String, u16)>>>;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let store = Store::start();
    let door = store.open(&loopback(1))?;
    store.put("op/config", CONFIG);
    let runs = Arc::default();
    let mut leafs = Vec::new();
    for number in 1..=LEAFS {
        let spec = Spec {
            id: format!("i-archive-{number}"),
            service: "archive".to_owned(),
            zone: "xela-centro".to_owned(),
            slots: 3,
            queue: 12,
            work: WORK,
            is_shard: false,
            idle_s: 15,
        };
        let leaf = Leaf::start(&loopback(10 + number), spec, record, &runs, true)?;
        leaf.register(&store, "ready", 1);
        leafs.push(leaf);
    }
    let mut hosts = Vec::new();
    for (number, zone) in [
        (21, "xela-centro"),
        (22, "mazate-norte"),
        (23, "zacapa-uno"),
    ] {
        let mut host = Host::new(&format!("front-{zone}"), number)?;
        let settings = Settings {
            zone: zone.to_owned(),
            drain_ms: DRAIN.as_millis() as u64,
            ..Settings::default()
        };
        host.start(door.address, &settings)?;
        hosts.push(host);
    }
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        return Err("a host isn't ready".into());
    }
    // From here on the hosts are in touch: no disturbance for `touch_ms`.
    sleep(Duration::from_millis(6_000));

    let answers = Answers::default();
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let traffic = {
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        thread::spawn(move || send_all(&fronts, trouble, &record, &answers))
    };
    let mut drained = None;
    if trouble {
        sleep(DRAIN_AT);
        let confirmed = leafs[1].register(&store, "draining", 2);
        record.line_at(confirmed, "store: confirms that i-archive-2 is draining");
        drained = Some(confirmed);
        sleep(DRAIN + LINGER);
        record.line("leaf i-archive-2: exits");
        leafs[1].end();
        store.delete("servers/i-archive-2");
    }
    for client in traffic.join().map_err(|_| "the traffic has failed")? {
        let _ = client.join();
    }
    for host in &mut hosts {
        let (peak, has_ended) = (host.peak_kb(), host.has_ended());
        record.say(&format!(
            "{}: peak {peak} KB, ended by itself: {has_ended}",
            host.name
        ));
    }
    let answers = answers.lock().unwrap();
    let runs: Vec<Run> = {
        let runs: &Mutex<Vec<Run>> = &runs;
        runs.lock().unwrap().clone()
    };
    let count = |status: u16| answers.iter().filter(|(_, got)| *got == status).count();
    record.say(&format!(
        "{} requests: {} answered 200, {} 502, {} 503, {} 504; {} runs",
        answers.len(),
        count(200),
        count(502),
        count(503),
        count(504),
        runs.len()
    ));
    let Some(drained) = drained else {
        return Ok(if count(200) == answers.len() {
            Verdict::Held
        } else {
            Verdict::Broken
        });
    };
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.leaf == "i-archive-2" && run.arrived > drained + DRAIN)
        .collect();
    for run in &late {
        let answer = answers.iter().find(|(id, _)| *id == run.id);
        record.line(&format!(
            "late: {} reached i-archive-2 {} ms after the confirmation; its client got {}",
            run.id,
            (run.arrived - drained).as_millis(),
            answer.map_or(0, |(_, status)| *status)
        ));
    }
    let is_lost = |run: &&&Run| {
        answers
            .iter()
            .any(|(id, status)| *id == run.id && *status != 200)
    };
    record.say(&format!(
        "requests that reached i-archive-2 later than {} ms after the store confirmed that it was draining: {}; the last after {} ms; {} of them ran and were lost",
        DRAIN.as_millis(),
        late.len(),
        late.iter().map(|run| (run.arrived - drained).as_millis()).max().unwrap_or(0),
        late.iter().filter(is_lost).count()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Sends the requests of the run to all hosts, each from a client of its own, at an even pace.
fn send_all(
    fronts: &[SocketAddr],
    trouble: bool,
    record: &Record,
    answers: &Answers,
) -> Vec<JoinHandle<()>> {
    let (times, begin, length) = BURST;
    let start = Instant::now();
    let (mut at, mut number) = (0.0, 0);
    let mut clients = Vec::new();
    while at < TRAFFIC_S {
        sleep((start + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now()));
        for front in fronts {
            number += 1;
            let (record, answers, front) = (record.clone(), Arc::clone(answers), *front);
            clients.push(thread::spawn(move || {
                let ask = Ask {
                    method: "POST",
                    path: format!("/fetch/{number}"),
                    id: format!("c{number:04}"),
                    deadline_ms: 15_000,
                    body: b"certificate".to_vec(),
                    ..Ask::default()
                };
                let sent = Instant::now();
                record.line_at(sent, &format!("client: sends {} to {front}", ask.id));
                let answer = ask.send(front);
                record.line(&format!(
                    "client: {} gets {}",
                    ask.id,
                    describe(&answer, sent)
                ));
                let status = answer.map_or(0, |answer| answer.status());
                answers.lock().unwrap().push((ask.id, status));
            }));
        }
        let is_burst = at >= begin && at < begin + length;
        at += 1.0 / (USUAL_RATE * if is_burst && trouble { times } else { 1.0 });
    }
    clients
}
