//! A leaf drains while requests wait for a free connection.

use {
    super::{Client, Verdict},
    crate::{
        leaf::{Act, Leaf, Spec},
        world::{Bounds, Record, Route, World, config},
    },
    std::{io, thread, time::Duration},
};

/// Requests that come at once.
const REQUESTS: usize = 60;

/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(1_300);

/// Time after its report for which the leaf serves on, beyond the drain time-out.
const SERVES_ON: Duration = Duration::from_millis(3_000);

/// Delay of what a leaf sees behind what the host sent.
const SLACK_MS: u64 = 100;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::new(record.clone())?;
    let route = Route {
        name: "archive-fetch",
        prefix: "/archive/",
        is_safe: false,
        timeout_ms: 15_000,
        objective_ms: 800,
        max_attempts: 2,
        services: vec!["archive".to_owned()],
        is_gathered: false,
    };
    world.store.put("op/config", &config(1, &[route], 20));
    let mut leaves = Vec::new();
    for index in 0..2 {
        let spec = Spec {
            id: &format!("i-archive-{index}"),
            service: "archive",
            zone: world.zone(index),
            ip: format!("{}.{}", world.net, 100 + index),
            slots: 3,
            queue: 8,
        };
        leaves.push(Leaf::start(spec, &world.store, record, |_: &Leaf, request| {
            let is_warm = request.path().ends_with("warm");
            Act::Run(if is_warm { Duration::from_millis(20) } else { WORK })
        })?);
    }
    let bounds = Bounds { drain_ms: 5_000, touch_ms: 5_000, ..Bounds::default() };
    let hosts = world.start_hosts(3, &bounds)?;
    for number in 0..10 {
        let mut client = Client::connect(hosts[0].front(), record)?;
        client.send("POST", "/archive/warm", &format!("w-{number}"), 15_000)?;
    }
    let front = hosts[0].front();
    let sending: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("r-{number}");
                let mut client = Client::connect(front, &record).ok()?;
                let answer = client.send("POST", &format!("/archive/{number}"), &id, 15_000);
                Some((id, answer.map(|answer| answer.status()).ok()))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let mut late = Vec::new();
    if has_trouble {
        // The host's first choice is a leaf of its own zone; its requests wait for the other.
        let leaf = &leaves[1];
        leaf.drain();
        let limit = record.now_ms() + bounds.drain_ms + SLACK_MS;
        thread::sleep(Duration::from_millis(bounds.drain_ms) + SERVES_ON);
        leaf.leave();
        leaf.end();
        let arrivals = leaf.arrivals.lock().unwrap();
        late.extend(
            arrivals.iter().filter(|(at, _)| *at > limit).map(|(at, id)| format!("{id} at {at}")),
        );
    }
    let mut lost = Vec::new();
    let mut answers = std::collections::BTreeMap::<String, usize>::new();
    for thread in sending {
        let Ok(Some((id, status))) = thread.join() else { continue };
        let ran = leaves.iter().any(|leaf| leaf.runs.lock().unwrap().contains_key(&id));
        if ran && status != Some(200) {
            lost.push(id);
        }
        let status = status.map_or("closed".to_owned(), |status| status.to_string());
        *answers.entry(status).or_default() += 1;
    }
    Ok(Verdict {
        rule: "DRAIN",
        is_broken: !late.is_empty(),
        text: format!(
            "{} requests reached the draining leaf later than {} ms after the store's confirmation \
             ({}); {} ran without an answer of the leaf ({}); answers by status: {answers:?}",
            late.len(),
            bounds.drain_ms,
            late.join(", "),
            lost.len(),
            lost.join(", ")
        ),
    })
}
