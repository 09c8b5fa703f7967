//! The store loses one answer: that to a host's watch, with a new version of the configuration.

use {
    super::{Client, Verdict},
    crate::{
        leaf::{Act, Leaf, Spec},
        world::{Bounds, Record, Route, World, config},
    },
    std::{
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Time after which a version has to be in force.
const CONFIG_APPLY_MS: u64 = 3_000;

const WORK: Duration = Duration::from_millis(20);

fn route(service: &str) -> Route {
    Route {
        name: "partner-card",
        prefix: "/card/",
        is_safe: false,
        timeout_ms: 4_000,
        objective_ms: 400,
        max_attempts: 2,
        services: vec![service.to_owned()],
        is_gathered: false,
    }
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::new(record.clone())?;
    world.store.put("op/config", &config(1, &[route("old")], 110));
    let mut leaves = Vec::new();
    for (index, service) in ["old", "old", "new", "new"].into_iter().enumerate() {
        let spec = Spec {
            id: &format!("i-{service}-{index}"),
            service,
            zone: world.zone(index),
            ip: format!("{}.{}", world.net, 100 + index),
            slots: 6,
            queue: 8,
        };
        leaves.push(Leaf::start(spec, &world.store, record, |_: &Leaf, _| Act::Run(WORK))?);
    }
    let bounds = Bounds::default();
    let hosts = world.start_hosts(3, &bounds)?;
    let is_over = Arc::new(AtomicBool::new(false));
    // When each request was sent, by its id.
    let sent: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            let (record, is_over, front) = (record.clone(), Arc::clone(&is_over), host.front());
            let sent = Arc::clone(&sent);
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("r-{index}-{number}");
                    sent.lock().unwrap().push((record.now_ms(), id.clone()));
                    let _ = Client::connect(front, &record)
                        .and_then(|mut client| client.send("POST", "/card/1", &id, 4_000));
                    thread::sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    world.store.put("op/config", &config(2, &[route("old")], 104));
    record.line("version 2 is accepted by the store: another connection limit");
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        world.store.lose_watch_of("op/config");
    }
    world.store.put("op/config", &config(3, &[route("new")], 104));
    let confirmed = record.now_ms();
    record.line("version 3 is accepted by the store: partner-card moves from old to new");
    thread::sleep(Duration::from_secs(15));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // The lost answer counts as a disturbance of the store, so only requests that were sent
    // `touch_ms` after it are held against the hosts.
    let due = confirmed + CONFIG_APPLY_MS.max(bounds.touch_ms);
    let sent = sent.lock().unwrap();
    let ran_old = |id: &String| {
        leaves[..2].iter().any(|leaf| leaf.runs.lock().unwrap().contains_key(id))
    };
    let late: Vec<&(u64, String)> =
        sent.iter().filter(|(at, id)| *at > due && ran_old(id)).collect();
    let last = late.iter().map(|(at, _)| at - confirmed).max().unwrap_or(0);
    Ok(Verdict {
        rule: "CONFIG",
        is_broken: !late.is_empty(),
        text: format!(
            "{} requests that were sent later than {} ms after the store's confirmation of version 3 \
             were run by the service of version 2, the last of them {last} ms after it",
            late.len(),
            due - confirmed
        ),
    })
}
