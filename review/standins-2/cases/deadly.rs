//! A request crashes each of the two leaves of a deployment, and comes again.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{Arrivals, Behaviour, Leaf},
        unable, Verdict,
    },
    std::{
        collections::{HashMap, HashSet},
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "pedidos";
const DEADLY: &str = "/orders/deadly";
const HOSTS: usize = 3;
const TOUCH_MS: u64 = 4_000;

/// Time from the end of a leaf until it is back, for each of the two.
const DOWN: [Duration; 2] = [Duration::from_millis(4_000), Duration::from_millis(5_300)];

/// Time after which the store drops the entry of a silent leaf: three check-ins of 1.2 s.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// Time between two attempts of the client with the deadly request, at any host.
const DEADLY_PAUSE: Duration = Duration::from_millis(200);

/// Time between two requests of another client at each host.
const PAUSE: Duration = Duration::from_millis(100);

/// Time for which the deadly request comes.
const TIME: Duration = Duration::from_secs(40);

/// Retries that may reach leaves after the third end.
const ALLOWED: usize = 3;

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let start = |number: usize, boot: usize| {
        let behaviour = Behaviour {
            work: Duration::from_millis(20),
            limit: None,
            records: 100,
            crash_at: None,
            deadly: Some(DEADLY),
            idle_s: 10,
        };
        let (id, zone) = (format!("i-{number}-{boot}"), format!("zone-{number}"));
        let ip = fleet.leaf_ip(number);
        let leaf = Leaf::start(
            &id,
            SERVICE,
            &zone,
            (&ip, 0),
            8,
            behaviour,
            record,
            &arrivals,
        )?;
        leaf.register(&fleet.store, "ready", 0);
        Ok::<Leaf, io::Error>(leaf)
    };
    let first = [start(0, 0)?, start(1, 0)?];
    let route = Route {
        prefix: "/orders/",
        kind: "safe",
        timeout_ms: 2_000,
        objective_ms: 400,
        target: format!("\"service\":\"{SERVICE}\""),
    };
    let services = [fleet::service(SERVICE, 110, 0.0)];
    fleet
        .store
        .put("op/config", &fleet::config(7, &[route], &services, ""));
    let hosts = fleet.start_hosts(HOSTS, 3, &Settings::default())?;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front()).collect();

    let is_over = AtomicBool::new(false);
    let sent_at: Mutex<HashMap<String, u64>> = Mutex::default();
    let others: Arc<Mutex<(usize, usize)>> = Arc::default();
    thread::scope(|scope| {
        for (number, leaf) in first.into_iter().enumerate() {
            let (is_over, start, store) = (&is_over, &start, &fleet.store);
            scope.spawn(move || {
                let mut leaf = leaf;
                for boot in 1.. {
                    while !leaf.is_stopped() {
                        if is_over.load(Ordering::SeqCst) {
                            return;
                        }
                        thread::sleep(Duration::from_millis(5));
                    }
                    thread::sleep(EXPIRY);
                    store.delete(&format!("servers/{}", leaf.id));
                    thread::sleep(DOWN[number] - EXPIRY);
                    match start(number, boot) {
                        Ok(next) => leaf = next,
                        Err(_) => return,
                    }
                }
            });
        }
        for (host, front) in fronts.iter().enumerate() {
            let (is_over, others) = (&is_over, Arc::clone(&others));
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let status = send(
                        *front,
                        &format!("/orders/{number}"),
                        &format!("o-{host}-{number}"),
                    );
                    let mut others = others.lock().unwrap();
                    others.0 += usize::from(status == 200);
                    others.1 += 1;
                    drop(others);
                    thread::sleep(PAUSE);
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        let until = record.now_ms() + TIME.as_millis() as u64;
        let mut number = 0;
        while record.now_ms() < until {
            if has_trouble {
                let id = format!("deadly-{number}");
                sent_at.lock().unwrap().insert(id.clone(), record.now_ms());
                let status = send(fronts[number % HOSTS], DEADLY, &id);
                record.line(&format!("answered: {id} with {status}"));
            }
            number += 1;
            thread::sleep(DEADLY_PAUSE);
        }
        is_over.store(true, Ordering::SeqCst);
    });

    let sent_at = sent_at.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let ends: Vec<(u64, &String)> = arrivals
        .iter()
        .filter(|arrival| arrival.id.starts_with("deadly"))
        .map(|arrival| (arrival.at_ms, &arrival.id))
        .collect();
    let (served, all) = *others.lock().unwrap();
    if all == 0 || arrivals.is_empty() {
        return unable("no request reached a leaf");
    }
    let late: HashSet<&String> = match ends.get(2) {
        Some((third, _)) => {
            let is_late = |id: &&String| sent_at[*id] > third + TOUCH_MS;
            ends.iter().map(|(_, id)| *id).filter(is_late).collect()
        }
        None => HashSet::new(),
    };
    let text = format!(
        "the request ended {} leaves; {} retries that were sent later than {TOUCH_MS} ms after the \
         third end reached leaves ({ALLOWED} allowed); of other requests {served} of {all} were \
         served",
        ends.len(),
        late.len()
    );
    Ok(if late.len() > ALLOWED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Sends a request and returns the status of its answer, 0 without one.
fn send(front: SocketAddr, path: &str, id: &str) -> u16 {
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Milliseconds", "2000"),
    ];
    let limit = Duration::from_millis(2_000);
    let answer = client::send(front, "GET", path, &headers, b"", limit);
    answer.map_or(0, |answer| answer.status())
}
