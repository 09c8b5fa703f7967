//! Stand-in for the platform's metadata store: items with revisions and leases, watches, the
//! store's own history, a restore from an older copy, and doors at which some machines are turned
//! away.

use {
    crate::{
        http::{Connection, Message},
        json::{Json, decode_base64, encode_base64, quote},
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicU8, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Clone, Default)]
pub struct State {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// What a door does with calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// It lets them in.
    Open = 0,
    /// It answers 503.
    Busy = 1,
    /// It doesn't answer.
    Silent = 2,
}

/// An address of the store.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Door {
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    fn mode(&self) -> u8 {
        self.mode.load(Ordering::SeqCst)
    }
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            era: 1,
            revision: 100,
            next_lease: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                leases.end_leases();
            }
        });
        store
    }

    /// Opens an address of the store.
    pub fn open(&self, host: &str) -> io::Result<Door> {
        let listener = TcpListener::bind((host, 0))?;
        let door = Door {
            address: listener.local_addr()?,
            mode: Arc::new(AtomicU8::new(Mode::Open as u8)),
        };
        let (store, own) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), own.clone());
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        if store.serve(&mut connection, &request, &door).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(door)
    }

    /// Writes an item as the operator or a leaf does; returns when the store has confirmed it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        write(&mut state, key, Some((value.as_bytes().to_vec(), 0)));
        drop(state);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Returns a copy of what the store has.
    pub fn copy(&self) -> State {
        self.state.0.lock().unwrap().clone()
    }

    /// Comes back from `copy`, in a new era.
    pub fn restore(&self, copy: State) {
        let mut state = self.state.0.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy };
        drop(state);
        self.state.1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        if ended.is_empty() {
            return;
        }
        for id in ended {
            end_lease(&mut state, id);
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, connection: &mut Connection, request: &Message, door: &Door) -> io::Result<()> {
        let era = || ("Store-Era", self.state.0.lock().unwrap().era.to_string());
        if door.mode() == Mode::Silent as u8 {
            // A connection on which an answer is lost returns nothing further.
            thread::sleep(Duration::from_secs(60));
            return Err(io::ErrorKind::TimedOut.into());
        }
        if door.mode() == Mode::Busy as u8 {
            let (name, value) = era();
            return connection.answer("503 Service Unavailable", &[(name, &value)], b"{}");
        }
        let (status, body) = self.handle(request, door);
        if door.mode() == Mode::Silent as u8 {
            thread::sleep(Duration::from_secs(60));
            return Err(io::ErrorKind::TimedOut.into());
        }
        let status = if door.mode() == Mode::Busy as u8 {
            "503 Service Unavailable"
        } else {
            status
        };
        let (name, value) = era();
        let headers = [(name, value.as_str()), ("Content-Type", "application/json")];
        connection.answer(status, &headers, body.as_bytes())
    }

    fn handle(&self, request: &Message, door: &Door) -> (&'static str, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found
                .map(|(_, value)| decode_percent(value))
                .unwrap_or_default()
        };
        match (request.word(0), path) {
            ("GET", "/api/kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = field("key");
                match state.items.get(&key) {
                    Some(item) => ("200 OK", show(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.state.0.lock().unwrap();
                let (prefix, after) = (field("prefix"), field("after"));
                let matching: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let page: Vec<_> = matching.iter().take(500).collect();
                let items: Vec<_> = page.iter().map(|(key, item)| show(key, item)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":{},\"at_revision\":{}}}",
                    items.join(","),
                    matching.len() > page.len(),
                    state.revision
                );
                ("200 OK", body)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = field("prefix");
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.watch(&prefix, after, wait, door)
            }
            ("POST", "/api/kv-txn") => self.change(&request.body),
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = ttl.get("ttl_ms").number().clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.0.lock().unwrap();
                let id = state.next_lease;
                state.next_lease += 1;
                let ends = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends });
                ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&id.unwrap_or(0)) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        let ttl_ms = lease.ttl.as_millis();
                        ("200 OK", format!("{{\"ttl_ms\":{ttl_ms}}}"))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut state = self.state.0.lock().unwrap();
                end_lease(&mut state, id.unwrap_or(0));
                drop(state);
                self.state.1.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        door: &Door,
    ) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            if state.revision < after {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => show(&event.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        quote(&event.key),
                        event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || door.mode() != Mode::Open as u8 {
                let body = format!(
                    "{{\"events\":[{}],\"at_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            let nap = left.min(Duration::from_millis(50));
            state = changed.wait_timeout(state, nap).unwrap().0;
        }
    }

    fn change(&self, body: &[u8]) -> (&'static str, String) {
        let change = Json::parse(body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        let rows = change.get("precondition").list();
        let now_at = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| row.get("revision").number() == now_at(row.get("key").text());
        if !rows.iter().all(holds) {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    Some(show(key, state.items.get(key)?))
                })
                .collect();
            let body = format!("{{\"items\":[{}]}}", items.join(","));
            return ("412 Precondition Failed", body);
        }
        let puts = change.get("puts").list();
        let is_known = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(is_known) {
            return ("404 Not Found", "{}".to_owned());
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| is_foreign(put.get("key").text())) {
            return ("403 Forbidden", "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            let value = decode_base64(put.get("value").text());
            let lease = put.get("lease").number();
            write(&mut state, put.get("key").text(), Some((value, lease)));
        }
        for key in change.get("deletes").list() {
            write(&mut state, key.text(), None);
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn write(state: &mut State, key: &str, value: Option<(Vec<u8>, u64)>) {
    let revision = state.revision;
    let item = value.map(|(value, lease)| Item {
        value,
        revision,
        created: state.items.get(key).map_or(revision, |item| item.created),
        lease,
    });
    match &item {
        Some(item) => drop(state.items.insert(key.to_owned(), item.clone())),
        None => {
            if state.items.remove(key).is_none() {
                return;
            }
        }
    }
    state.events.push(Event {
        key: key.to_owned(),
        revision,
        item,
    });
}

fn end_lease(state: &mut State, id: u64) {
    if state.leases.remove(&id).is_none() {
        return;
    }
    let keys = state.items.iter().filter(|(_, item)| item.lease == id);
    let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
    if !keys.is_empty() {
        state.revision += 1;
    }
    for key in keys {
        write(state, &key, None);
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_revision\":{},\"lease\":{}}}",
        quote(key),
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
