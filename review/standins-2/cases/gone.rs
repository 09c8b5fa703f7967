//! Clients leave before their time budget while leaves of many shards are slow.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{self, Arrivals, Behaviour, Leaf},
        unable, Verdict,
    },
    std::{io, thread, time::Duration},
};

const SHARDS: usize = 20;

/// Shards of which both leaves are slow: 6 of 40 leaves.
const SLOW_SHARDS: usize = 3;
const WORK: Duration = Duration::from_millis(20);

/// The longest work of a request, 150 ms, times 8.5.
const SLOW_WORK: Duration = Duration::from_millis(1_275);

const REQUESTS: usize = 30;

/// One client in five leaves early.
const LEAVING_EACH: usize = 5;
const STAY: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(1_000);

/// Time after which a leaf must no longer work for a client that has left.
const LEFT_MS: u64 = 500;

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard{shard}")).collect();
    for (shard, name) in names.iter().enumerate() {
        for copy in 0..2 {
            let is_slow = has_trouble && shard < SLOW_SHARDS;
            let work = if is_slow { SLOW_WORK } else { WORK };
            let behaviour = Behaviour {
                work,
                limit: None,
                records: 25,
                is_leaving: false,
            };
            let (id, zone) = (format!("i-{shard}-{copy}"), format!("zone-{copy}"));
            let ip = fleet.leaf_ip(shard * 2 + copy);
            let leaf = Leaf::start(&id, name, &zone, (&ip, 0), 2, behaviour, record, &arrivals)?;
            leaf.register(&fleet.store, "ready", 0);
        }
    }
    let route = Route {
        prefix: "/history/",
        kind: "safe",
        timeout_ms: 1_500,
        objective_ms: 150,
        target: format!(
            "\"fanout_services\":[{}],\"result_limit\":20,\"min_shard_share\":0.89",
            leaf::quote_all(&names)
        ),
    };
    let services: Vec<String> = names
        .iter()
        .map(|name| fleet::service(name, 25, 0.0))
        .collect();
    fleet
        .store
        .put("op/config", &fleet::config(7, &[route], &services, ""));
    let hosts = fleet.start_hosts(3, 3, &Settings::default())?;

    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let front = hosts[number % hosts.len()].front();
        let is_leaving = has_trouble && number % LEAVING_EACH == 0;
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("q-{number}");
            let headers = [
                ("Host", HOST),
                ("Request-Id", &id),
                ("Deadline-Milliseconds", "1500"),
            ];
            let path = "/history/1";
            if !is_leaving {
                let limit = Duration::from_secs(3);
                let answer = client::send(front, "GET", path, &headers, b"", limit);
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("answered: {id} with {status}"));
                return None;
            }
            let has_left = client::leave_early(front, path, &headers, STAY).unwrap_or(false);
            let at = record.now_ms();
            record.line(&format!(
                "the client of {id} leaves; without an answer: {has_left}"
            ));
            has_left.then_some((id, at))
        }));
        thread::sleep(PAUSE);
    }
    let left: Vec<(String, u64)> = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .collect();
    thread::sleep(Duration::from_secs(2));

    let arrivals = arrivals.lock().unwrap();
    if arrivals.is_empty() {
        return unable("no request reached a leaf");
    }
    if left.is_empty() {
        return Ok(Verdict::Held("no client left early".to_owned()));
    }
    // All of them would have lasted so long: slow leaves need 1,275 ms.
    let mut working = 0;
    let mut late = 0;
    for (id, at) in &left {
        let of_request: Vec<_> = arrivals
            .iter()
            .filter(|arrival| arrival.id == *id)
            .collect();
        let is_working = of_request
            .iter()
            .any(|it| it.end_ms.unwrap_or(u64::MAX) > at + LEFT_MS);
        working += usize::from(is_working);
        late += of_request
            .iter()
            .filter(|it| it.at_ms > at + LEFT_MS)
            .count();
    }
    let text = format!(
        "leaves were still at work {LEFT_MS} ms after the client had left on {working} of {} \
         requests; {late} reached a leaf later than that",
        left.len()
    );
    let is_broken = working * 4 > left.len();
    Ok(if is_broken {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
