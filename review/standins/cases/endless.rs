//! Some leafs send bytes without end in place of answers.

use {
    super::{Client, Verdict},
    crate::{
        leaf::{Act, Endless, Leaf, Spec},
        world::{Bounds, Record, Route, World, config},
    },
    std::{
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SHARDS: usize = 20;

/// Leafs that are faulty, of twice the number of shards: the first of each of these shards.
const FAULTY: usize = 12;

/// Requests a second at all hosts together, and the seconds for which they come.
const PER_S: u64 = 15;
const LENGTH_S: u64 = 16;

/// Seconds in which the leafs are faulty.
const FAULT_S: std::ops::Range<u64> = 4..9;

const TIMEOUT_MS: u64 = 1_000;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::new(record.clone())?;
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("desk-{shard}")).collect();
    let route = Route {
        name: "bill-dispute",
        prefix: "/bill/",
        is_safe: true,
        timeout_ms: TIMEOUT_MS,
        objective_ms: 100,
        max_attempts: 2,
        services: shards.clone(),
        is_gathered: true,
    };
    world.store.put("op/config", &config(1, &[route], 26));
    let is_faulty = Arc::new(AtomicBool::new(false));
    let endless = Arc::new(AtomicUsize::new(0));
    let mut leaves = Vec::new();
    for (index, service) in shards.iter().chain(&shards).enumerate() {
        let spec = Spec {
            id: &format!("i-{service}-{}", index / SHARDS),
            service,
            zone: world.zone(index / SHARDS),
            ip: format!("{}.{}", world.net, 100 + index),
            slots: 2,
            queue: 12,
        };
        let (is_faulty, endless) = (Arc::clone(&is_faulty), Arc::clone(&endless));
        let place = if index % 2 == 0 { Endless::Head } else { Endless::Body };
        leaves.push(Leaf::start(spec, &world.store, record, move |_: &Leaf, _| {
            if index < FAULTY && is_faulty.load(Ordering::SeqCst) {
                endless.fetch_add(1, Ordering::SeqCst);
                return Act::Endless(place);
            }
            Act::Run(Duration::from_millis(11))
        })?);
    }
    let hosts = world.start_hosts(3, &Bounds::default())?;
    let fronts: Vec<_> = hosts.iter().map(|host| host.front()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let checks: Vec<_> = hosts
        .into_iter()
        .map(|host| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut missed = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let start = Instant::now();
                    let status = host.readiness();
                    if status != 200 {
                        missed += 1;
                        record.line(&format!("readiness check of {}: {status}", host.name));
                    }
                    thread::sleep(Duration::from_secs(1).saturating_sub(start.elapsed()));
                }
                (host, missed)
            })
        })
        .collect();
    let times: Arc<Mutex<Vec<(u64, u16)>>> = Arc::default();
    let start = Instant::now();
    let mut sending = Vec::new();
    for number in 0..PER_S * LENGTH_S {
        let at = Duration::from_millis(number * 1_000 / PER_S);
        thread::sleep(at.saturating_sub(start.elapsed()));
        let is_due = has_trouble && FAULT_S.contains(&(number / PER_S));
        if is_faulty.swap(is_due, Ordering::SeqCst) != is_due {
            record.line(&format!("{FAULTY} of {} leafs are faulty: {is_due}", leaves.len()));
        }
        let (record, times) = (record.clone(), Arc::clone(&times));
        let front = fronts[number as usize % fronts.len()];
        sending.push(thread::spawn(move || {
            let id = format!("r-{number}");
            let Ok(mut client) = Client::connect(front, &record) else { return };
            let sent = Instant::now();
            let answer = client.send("GET", &format!("/bill/{number}"), &id, TIMEOUT_MS + 7_000);
            let took = sent.elapsed().as_millis() as u64;
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("request {id} took {took} ms"));
            times.lock().unwrap().push((took, status));
        }));
    }
    for thread in sending {
        let _ = thread.join();
    }
    is_over.store(true, Ordering::SeqCst);
    let missed: usize =
        checks.into_iter().filter_map(|check| check.join().ok()).map(|(_, missed)| missed).sum();
    let times = times.lock().unwrap();
    let over = times.iter().filter(|(took, _)| *took > TIMEOUT_MS).count();
    let late = times.iter().filter(|(took, _)| *took > TIMEOUT_MS + 500).count();
    let longest = times.iter().map(|(took, _)| *took).max().unwrap_or(0);
    let failed = times.iter().filter(|(_, status)| *status != 200).count();
    Ok(Verdict {
        rule: "CONFIG",
        is_broken: late >= 8 && late * 2 > over,
        text: format!(
            "of {} requests {over} had no answer at the route's timeout of {TIMEOUT_MS} ms, and \
             {late} of these none 500 ms later; the longest took {longest} ms; {failed} failed; \
             {missed} readiness checks had no 200 within a second; bytes without end in {} answers",
            times.len(),
            endless.load(Ordering::SeqCst)
        ),
    })
}
