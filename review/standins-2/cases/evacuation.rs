//! A zone is evacuated while callers upload bodies.

use {
    crate::{
        client,
        fleet::{self, Fleet, Record, Route, Settings, HOST},
        leaf::{Arrivals, Behaviour, Leaf},
        unable, Verdict,
    },
    std::{io, thread, time::Duration},
};

const SERVICE: &str = "archive-clerk";
const EVACUATION_MS: u64 = 5_000;

/// Zones of the leaves; the first is evacuated.
const ZONES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];
const UPLOADS: usize = 20;

/// An upload takes 6.5 s of a time budget of 15 s.
const PIECES: usize = 65;
const PAUSE: Duration = Duration::from_millis(100);

/// Time from the heads of the uploads to the evacuation.
const DELAY: Duration = Duration::from_millis(400);
const ANSWER_TIME: Duration = Duration::from_secs(16);

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::new(record)?;
    let arrivals = Arrivals::default();
    for (number, zone) in ZONES.iter().enumerate() {
        let behaviour = Behaviour {
            work: Duration::from_millis(220),
            limit: None,
            records: 180,
            is_leaving: false,
        };
        let (id, zone) = (format!("i-{number}"), format!("zone-{zone}"));
        let ip = fleet.leaf_ip(number);
        let leaf = Leaf::start(
            &id,
            SERVICE,
            &zone,
            (&ip, 0),
            3,
            behaviour,
            record,
            &arrivals,
        )?;
        leaf.register(&fleet.store, "ready", 0);
    }
    let route = Route {
        prefix: "/archive/",
        kind: "unsafe",
        timeout_ms: 15_000,
        objective_ms: 800,
        target: format!("\"service\":\"{SERVICE}\""),
    };
    let services = [fleet::service(SERVICE, 931, 0.0)];
    fleet
        .store
        .put("op/config", &fleet::config(7, &[route], &services, ""));
    let settings = Settings {
        drain_ms: 5_000,
        touch_ms: 5_000,
        config_ms: 5_000,
        ..Settings::default()
    };
    let hosts = fleet.start_hosts(3, 3, &settings)?;
    let front = hosts[0].front();

    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("upload-{number}");
                let headers = [
                    ("Host", HOST),
                    ("Request-Id", &id),
                    ("Deadline-Milliseconds", "15000"),
                ];
                record.line(&format!("sent: {id}, the head"));
                let path = "/archive/1";
                let answer = client::send_slowly(front, path, &headers, PIECES, PAUSE, ANSWER_TIME);
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("answered: {id} with {status}"));
                status
            })
        })
        .collect();
    thread::sleep(DELAY);
    if has_trouble {
        fleet.store.put("op/evacuate/zone-0", "{}");
    }
    let confirmed_at = record.now_ms();
    if has_trouble {
        record.line("store: zone-0 is to be evacuated");
    }
    // Short requests show that the host knows of the evacuation.
    for number in 0..20 {
        thread::sleep(Duration::from_millis(250));
        let id = format!("short-{number}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", &id),
            ("Deadline-Milliseconds", "15000"),
        ];
        let answer = client::send(front, "POST", "/archive/2", &headers, b"x", ANSWER_TIME);
        record.line(&format!(
            "answered: {id} with {}",
            answer.map_or(0, |it| it.status())
        ));
    }
    let statuses: Vec<u16> = uploads
        .into_iter()
        .map(|upload| upload.join().unwrap_or(0))
        .collect();
    let answered = statuses.iter().filter(|status| **status == 200).count();
    if answered == 0 {
        return unable("no upload was answered with 200");
    }
    if !has_trouble {
        return Ok(Verdict::Held(format!(
            "{answered} of {UPLOADS} uploads answered with 200"
        )));
    }
    let arrivals = arrivals.lock().unwrap();
    let is_late = |at_ms: u64| at_ms > confirmed_at + EVACUATION_MS;
    let evacuated: Vec<String> = (0..ZONES.len())
        .filter(|number| ZONES[*number] == 0)
        .map(|number| format!("i-{number}"))
        .collect();
    let late: Vec<String> = arrivals
        .iter()
        .filter(|arrival| evacuated.contains(&arrival.leaf) && is_late(arrival.at_ms))
        .map(|arrival| format!("{} after {} ms", arrival.id, arrival.at_ms - confirmed_at))
        .collect();
    let text = format!(
        "{} requests reached leaves of zone-0 later than {EVACUATION_MS} ms after the store had \
         confirmed its evacuation: {}",
        late.len(),
        late.join(", ")
    );
    Ok(if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
