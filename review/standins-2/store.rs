//! The platform's metadata store.

use {
    crate::{
        http::{Connection, Message},
        json::{self, Json},
    },
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// `None` when the key was removed.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                key: key.to_owned(),
                revision,
                item: None,
            });
        }
    }

    fn end_leases(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        let revision = self.revision;
        for key in keys {
            self.remove(&key, revision);
        }
        true
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Texts that are others in the entries of leaves, as they are read here.
    replaced: Arc<Vec<(String, String)>>,
}

impl Store {
    /// Starts a store at `ip`.
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            revision: 400,
            next_lease: 77_000,
            ..State::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            replaced: Arc::default(),
        };
        store.clone().accept(listener);
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            let (state, changed) = &*expiring.shared;
            if state.lock().unwrap().end_leases(Instant::now()) {
                changed.notify_all();
            }
        });
        Ok(store)
    }

    /// Returns the same store at another address, where the entries of leaves are read with
    /// `replaced` texts: the way of one host to a leaf can lead over a proxy.
    pub fn door(&self, replaced: Vec<(String, String)>) -> io::Result<Self> {
        let listener = TcpListener::bind((self.address.ip(), 0))?;
        let door = Self {
            address: listener.local_addr()?,
            shared: Arc::clone(&self.shared),
            replaced: Arc::new(replaced),
        };
        door.clone().accept(listener);
        Ok(door)
    }

    fn accept(self, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = self.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    /// Writes a key, as the operator and the leaves do.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, value.as_bytes().to_vec(), 0, revision);
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        changed.notify_all();
    }

    /// Returns the number of keys with this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            let start = format!("HTTP/1.1 {status} Status");
            let headers = [("Content-Type", "application/json")];
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method(), path) {
            ("GET", "/api/kv-key") => self.key(&field("key")),
            ("GET", "/api/kv-range") => self.range(&field("prefix"), &field("after")),
            ("GET", "/api/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms").min(30_000));
                self.watch(&field("prefix"), number("after"), wait)
            }
            ("POST", "/api/kv-txn") => self.change(&body),
            ("POST", "/api/kv-lease") => self.grant(body.number("ttl_ms")),
            ("POST", _) if path.starts_with("/api/kv-keep/") => self.renew(
                path.rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0),
            ),
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let (state, changed) = &*self.shared;
                let is_known = state.lock().unwrap().end_lease(id);
                changed.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, self.encode(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found: Vec<(&String, &Item)> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let has_more = found.len() > PAGE_ITEMS;
        let items = found
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, item)| self.encode(key, item));
        let items = items.collect::<Vec<_>>().join(",");
        let revision = state.revision;
        let text =
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at_revision\":{revision}}}");
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let events = state
                .events
                .iter()
                .rev()
                .take_while(|event| event.revision > after);
            let events = events.filter(|event| event.key.starts_with(prefix));
            let mut events: Vec<String> = events
                .map(|event| match &event.item {
                    Some(item) => self.encode(&event.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        json::quote(&event.key),
                        event.revision
                    ),
                })
                .collect();
            events.reverse();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"at_revision\":{revision}}}"),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let deletes = body.list("deletes").iter().map(Json::as_text);
        let mut keys = body
            .list("puts")
            .iter()
            .map(|put| put.text("key"))
            .chain(deletes);
        if keys.any(is_foreign) {
            return (403, "{}".to_owned());
        }
        let holds = body.list("precondition").iter().all(|row| {
            let known = state.items.get(row.text("key"));
            known.map_or(0, |item| item.revision) == row.number("revision")
        });
        if !holds {
            let rows = body.list("precondition").iter();
            let items = rows.filter_map(|row| {
                let key = row.text("key");
                state.items.get(key).map(|item| self.encode(key, item))
            });
            let items = items.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{items}]}}"));
        }
        let leases = body.list("puts").iter().map(|put| put.number("lease"));
        if leases
            .clone()
            .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        for put in body.list("puts") {
            let value = json::from_base64(put.text("value")).unwrap_or_default();
            state.put(put.text("key"), value, put.number("lease"), revision);
        }
        for key in body.list("deletes") {
            state.remove(key.as_text(), revision);
        }
        changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let id = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(
            id,
            Lease {
                ttl,
                ends_at: Instant::now() + ttl,
            },
        );
        (
            200,
            format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()),
        )
    }

    fn renew(&self, id: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn encode(&self, key: &str, item: &Item) -> String {
        let mut value = item.value.clone();
        if key.starts_with("servers/") && !self.replaced.is_empty() {
            let mut text = String::from_utf8_lossy(&value).into_owned();
            for (from, to) in &*self.replaced {
                text = text.replace(from, to);
            }
            value = text.into_bytes();
        }
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_revision\":{},\"lease\":{}}}",
            json::quote(key),
            json::to_base64(&value),
            item.revision,
            item.created,
            item.lease
        )
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
