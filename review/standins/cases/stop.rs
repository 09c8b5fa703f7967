//! SIGTERM: requests on open connections, sent while the host still serves, are cut.

use {
    super::{Client, Verdict},
    crate::{
        leaf::{Act, Leaf, Spec},
        world::{Bounds, Record, Route, World, config},
    },
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

/// Times after SIGTERM at which requests are sent, on connections that were open before it.
const SEND_AT_MS: [u64; 5] = [3_100, 3_200, 3_300, 3_400, 3_500];

/// Time that a leaf works on each of them.
const WORK: Duration = Duration::from_millis(2_800);

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
    for index in 0..3 {
        let spec = Spec {
            id: &format!("i-desk-{index}"),
            service: "desk",
            zone: world.zone(0),
            ip: format!("{}.{}", world.net, 100 + index),
            slots: 2,
            queue: 8,
        };
        leaves.push(Leaf::start(spec, &world.store, record, |_: &Leaf, request| {
            let is_warm = request.path().ends_with("warm");
            Act::Run(if is_warm { Duration::from_millis(20) } else { WORK })
        })?);
    }
    let mut hosts = world.start_hosts(3, &Bounds::default())?;
    let mut clients = Vec::new();
    for (index, at) in SEND_AT_MS.into_iter().enumerate() {
        let mut client = Client::connect(hosts[0].front(), record)?;
        client.send("POST", "/card/warm", &format!("w-{index}"), 4_000)?;
        clients.push((client, index, at));
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        record.line(&format!("SIGTERM to {}", hosts[0].name));
        hosts[0].signal("TERM");
    }
    let start = Instant::now();
    let sending: Vec<_> = clients
        .into_iter()
        .map(|(mut client, index, at)| {
            thread::spawn(move || {
                let until = Duration::from_millis(at).saturating_sub(start.elapsed());
                thread::sleep(until);
                let id = format!("r-{index}");
                let answer = client.send("POST", &format!("/card/{index}"), &id, 4_000);
                (id, answer.map(|answer| answer.status()))
            })
        })
        .collect();
    let mut ended_ms = None;
    while start.elapsed() < Duration::from_millis(8_000) {
        thread::sleep(Duration::from_millis(50));
        if ended_ms.is_none() && hosts[0].has_ended() {
            ended_ms = Some(start.elapsed().as_millis());
            record.line(&format!("{} has ended", hosts[0].name));
        }
        // What the platform does at the end of the grace time.
        if has_trouble && ended_ms.is_none() && start.elapsed() > Duration::from_secs(6) {
            record.line(&format!("SIGKILL to {}", hosts[0].name));
            hosts[0].signal("KILL");
        }
    }
    let mut lost = Vec::new();
    let mut answers = Vec::new();
    for thread in sending {
        let Ok((id, answer)) = thread.join() else { continue };
        let ran = leaves.iter().any(|leaf| leaf.runs.lock().unwrap().contains_key(&id));
        match answer {
            Ok(status) => answers.push(format!("{id}: {status}")),
            // A connection that ends before a leaf got the request is no loss.
            Err(_) if ran => lost.push(id),
            Err(_) => answers.push(format!("{id}: closed, not passed on")),
        }
    }
    Ok(Verdict {
        rule: "LOST",
        is_broken: !lost.is_empty(),
        text: format!(
            "{} requests that a leaf ran got no answer ({}); the others: {}; the host ended {} ms \
             after SIGTERM",
            lost.len(),
            lost.join(", "),
            answers.join(", "),
            ended_ms.map_or("-".to_owned(), |at| at.to_string())
        ),
    })
}
