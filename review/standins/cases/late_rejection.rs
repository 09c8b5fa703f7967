//! A leaf that is full sends its rejection once more, late. The request is not idempotent.

use {
    super::{Client, Verdict},
    crate::{
        leaf::{Act, Leaf, Spec},
        world::{Bounds, Record, Route, World, config},
    },
    std::{
        io,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::Duration,
    },
};

/// Requests that are sent one after the other.
const REQUESTS: usize = 240;

/// Every this many requests, each leaf is full for a moment.
const FULL_EVERY: usize = 40;

const WORK: Duration = Duration::from_millis(90);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::new(record.clone())?;
    let route = Route {
        name: "partner-card",
        prefix: "/card/",
        is_safe: false,
        timeout_ms: 4_000,
        objective_ms: 400,
        max_attempts: 2,
        services: vec!["desk".to_owned()],
        is_gathered: false,
    };
    world.store.put("op/config", &config(1, &[route], 110));
    let mut leaves = Vec::new();
    for index in 0..2 {
        let spec = Spec {
            id: &format!("i-desk-{index}"),
            service: "desk",
            zone: world.zone(index),
            ip: format!("{}.{}", world.net, 100 + index),
            slots: 2,
            queue: 8,
        };
        // Only the first leaf is faulty, and only one of its answers in fifty.
        let is_faulty = has_trouble && index == 0;
        let copies = AtomicU64::new(0);
        let leaf = Leaf::start(spec, &world.store, record, move |leaf: &Leaf, request| {
            let id = request.header("Request-Id").unwrap_or("");
            let number: usize = id.trim_start_matches("r-").parse().unwrap_or(0);
            let seen = leaf.runs.lock().unwrap().contains_key(id);
            let marker = format!("seen-{id}");
            let was_full = leaf.runs.lock().unwrap().insert(marker, 0).is_some();
            // The leaf is full at the first arrival, and has room a moment later.
            if number % FULL_EVERY != FULL_EVERY - 1 || was_full || seen {
                return Act::Run(WORK);
            }
            let answers = leaf.answers.load(Ordering::SeqCst) + 1;
            let may_copy = (copies.load(Ordering::SeqCst) + 1) * 33 <= answers;
            if is_faulty && may_copy {
                copies.fetch_add(1, Ordering::SeqCst);
                return Act::Full(Some(Duration::from_millis(20)));
            }
            Act::Full(None)
        })?;
        leaves.push(leaf);
    }
    let hosts = world.start_hosts(3, &Bounds::default())?;
    let mut client = Client::connect(hosts[0].front(), record)?;
    let mut promised = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        let path = format!("/card/{number}");
        match client.send("POST", &path, &id, 4_000) {
            Ok(answer) if [408, 421, 429, 503].contains(&answer.status()) => promised.push(id),
            Ok(_) => {}
            Err(_) => client = Client::connect(hosts[0].front(), record)?,
        }
    }
    thread::sleep(Duration::from_secs(1));
    let runs = |id: &str| -> u32 {
        leaves.iter().map(|leaf| leaf.runs.lock().unwrap().get(id).copied().unwrap_or(0)).sum()
    };
    let mut twice = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        if runs(&id) > 1 {
            twice.push(format!("{id} ran {} times", runs(&id)));
        }
    }
    promised.retain(|id| runs(id) > 0);
    Ok(Verdict {
        rule: "TWICE",
        is_broken: !twice.is_empty(),
        text: format!(
            "of {REQUESTS} requests that may run once, {} ran more than once ({}); {} were answered \
             with a promise that they did not run, and ran ({})",
            twice.len(),
            twice.join(", "),
            promised.len(),
            promised.join(", ")
        ),
    })
}
