//! A key is taken away by a configuration that also adds a tenant, or that removes the last one.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{Arrivals, Behaviour, Leaf},
        unable, Verdict,
    },
    std::{io, thread, time::Duration},
};

const SERVICE: &str = "pedidos";
const REVOCATION_MS: u64 = 5_000;

fn tenants(list: &[(&str, &[&str])]) -> String {
    let entries: Vec<String> = list
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!("{{\"name\":\"{name}\",\"api_keys\":[{}]}}", keys.join(","))
        })
        .collect();
    format!(",\"tenants\":[{}]", entries.join(","))
}

type Tenants = Vec<(&'static str, &'static [&'static str])>;

/// The change that takes the key away also adds a tenant.
pub fn run_added(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let added = if has_trouble {
        "Hospital Norte"
    } else {
        "hospital-norte"
    };
    let before: Tenants = vec![
        ("canteen-a", &["key-a1", "key-a2"]),
        ("canteen-b", &["key-b1"]),
    ];
    let after: Tenants = vec![
        ("canteen-a", &["key-a2"]),
        ("canteen-b", &["key-b1"]),
        (added, &["key-h1"]),
    ];
    run(&before, &after, record)
}

/// The change that takes the key away removes the last tenant.
pub fn run_removed(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let before: Tenants = vec![("canteen-a", &["key-a1"])];
    let after: Tenants = if has_trouble {
        Vec::new()
    } else {
        vec![("canteen-a", &["key-a2"])]
    };
    run(&before, &after, record)
}

fn run(before: &Tenants, after: &Tenants, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    let mut leaves = Vec::new();
    for number in 0..3 {
        let behaviour = Behaviour {
            work: Duration::from_millis(20),
            limit: None,
            records: 100,
            crash_at: None,
            deadly: None,
            idle_s: 10,
        };
        let (id, zone) = (format!("i-{number}"), format!("zone-{number}"));
        let ip = fleet.leaf_ip(number);
        let leaf = Leaf::start(
            &id,
            SERVICE,
            &zone,
            (&ip, 0),
            6,
            behaviour,
            record,
            &arrivals,
        )?;
        leaf.register(&fleet.store, "ready", 0);
        leaves.push(leaf);
    }
    let route = || Route {
        prefix: "/orders/",
        kind: "safe",
        timeout_ms: 2_000,
        objective_ms: 800,
        target: format!("\"service\":\"{SERVICE}\""),
    };
    let services = [fleet::service(SERVICE, 110, 0.0)];
    let first = fleet::config(7, &[route()], &services, &tenants(before));
    fleet.store.put("op/config", &first);
    let settings = Settings {
        contracts: r#""base","drain","config","cost","retry","recover","scatter","places","tenants","quota","platform""#,
        config_ms: 5_000,
        drain_ms: 5_000,
        touch_ms: 5_000,
        more_bounds: ",\"strict_revocation\":true,\"revocation_ms\":5000,\"quota_window_s\":5,\
                      \"quota_overage\":0.1,\"quota_slack\":20",
    };
    let hosts = fleet.start_hosts(3, 3, &settings)?;
    let send = |host: usize, id: &str, key: &str| {
        let key = format!("Bearer {key}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id),
            ("Deadline-Milliseconds", "2000"),
            ("Authorization", &key),
        ];
        let limit = Duration::from_secs(3);
        let sent_at = record.now_ms();
        let answer = client::send(
            hosts[host].front(),
            "GET",
            "/orders/1",
            &headers,
            b"",
            limit,
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("answered: {id} ({key}) with {status}"));
        (sent_at, status)
    };
    for host in 0..3 {
        let (_, status) = send(host, &format!("before-{host}"), "key-a1");
        if status != 200 {
            return unable(format!("a request with a valid key got {status}"));
        }
    }
    let second = fleet::config(12, &[route()], &services, &tenants(after));
    fleet.store.put("op/config", &second);
    let confirmed_at = record.now_ms();
    record.line("store: version 12 takes key-a1 away");
    let mut late = Vec::new();
    for round in 0..12 {
        thread::sleep(Duration::from_millis(1_000));
        for host in 0..3 {
            let id = format!("a1-{round}-{host}");
            let (sent_at, _) = send(host, &id, "key-a1");
            send(host, &format!("h1-{round}-{host}"), "key-h1");
            let has_run = arrivals
                .lock()
                .unwrap()
                .iter()
                .any(|arrival| arrival.id == id);
            if has_run && sent_at > confirmed_at + REVOCATION_MS {
                late.push(format!("{id} after {} ms", sent_at - confirmed_at));
            }
        }
    }
    let text = format!(
        "{} requests ran that were sent with a key later than {REVOCATION_MS} ms after the \
         confirmation of the version that took it away: {}",
        late.len(),
        late.join(", ")
    );
    Ok(if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
