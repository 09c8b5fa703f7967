//! Stand-in for the platform's metadata store, by the users' page on what it speaks.

use {
    crate::{
        http::{self, Connection, Message},
        world::Record,
    },
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
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

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key and its item, `None` for a removal, by revision.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.delete(&key);
            }
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<State>, Condvar)>,
    /// Text in a watch's answer by which the next such answer is lost.
    lost: Arc<Mutex<Option<String>>>,
    record: Record,
}

impl Store {
    pub fn start(ip: &str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            inner: Arc::default(),
            lost: Arc::default(),
            record: record.clone(),
        };
        let state = store.clone();
        http::serve(listener, move |connection| {
            let _ = state.handle(connection);
        });
        let state = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                state.change(State::expire);
            }
        });
        Ok(store)
    }

    /// Loses the next answer to a watch that has a change of `key`. Its connection stays open and
    /// returns nothing further.
    pub fn lose_watch_of(&self, key: &str) {
        *self.lost.lock().unwrap() = Some(format!("\"key\":\"{key}\""));
    }

    fn is_lost(&self, request: &Message, body: &str) -> bool {
        let mut lost = self.lost.lock().unwrap();
        request.path().starts_with("/api/kv-watch")
            && lost.take_if(|text| body.contains(text.as_str())).is_some()
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.inner.0.lock().unwrap());
        self.inner.1.notify_all();
        result
    }

    /// Writes a key as the operator or a leaf does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    /// Removes a key as the operator or a leaf does.
    pub fn delete(&self, key: &str) {
        self.change(|state| state.delete(key));
    }

    pub fn count(&self, prefix: &str) -> usize {
        self.change(|state| state.items.keys().filter(|key| key.starts_with(prefix)).count())
    }

    fn handle(&self, mut connection: Connection) -> io::Result<()> {
        loop {
            let request = connection.read()?;
            let (status, body) = self.answer(&request);
            if self.is_lost(&request, &body) {
                self.record.line("store: the answer to one watch is lost");
                // Whatever comes on this connection is read and not answered.
                while connection.read().is_ok() {}
                return Ok(());
            }
            let first = format!("HTTP/1.1 {status} Answer");
            connection.write(&first, &[("Content-Type", "application/json")], body.as_bytes())?;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode_percent(value)))
            .collect();
        let number = |key: &str| query.get(key).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            "/api/kv-range" => self.range(&query),
            "/api/kv-watch" => self.watch(&query, number("after"), number("wait_ms")),
            "/api/kv-lease" => {
                let ttl = field_number(&body, "ttl_ms").unwrap_or(1_000).max(1_000);
                let lease = self.change(|state| {
                    state.next_lease += 1;
                    let (id, ttl) = (state.next_lease, Duration::from_millis(ttl));
                    state.leases.insert(id, (Instant::now() + ttl, ttl));
                    id
                });
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            "/api/kv-txn" => self.txn(&body),
            _ => match path.strip_prefix("/api/kv-keep/").and_then(|id| id.parse::<u64>().ok()) {
                Some(id) => self.change(|state| match state.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }),
                None => (404, "{}".to_owned()),
            },
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let empty = String::new();
        let prefix = query.get("prefix").unwrap_or(&empty);
        let after = query.get("after").unwrap_or(&empty);
        let state = self.inner.0.lock().unwrap();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && *key > after)
            .map(|(key, item)| encode_item(key, item))
            .collect();
        let has_more = items.len() > 500;
        let items = items[..items.len().min(500)].join(",");
        let revision = state.revision;
        let text =
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at_revision\":{revision}}}");
        (200, text)
    }

    fn watch(&self, query: &BTreeMap<String, String>, after: u64, wait_ms: u64) -> (u16, String) {
        let empty = String::new();
        let prefix = query.get("prefix").unwrap_or(&empty);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.inner.0.lock().unwrap();
        loop {
            let first = state.events.partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = state.events[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => encode_item(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at_revision\":{revision}}}"));
            }
            state = self.inner.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    /// Runs a transaction; the entry hosts write one key without a condition.
    fn txn(&self, body: &str) -> (u16, String) {
        let key = field_text(body, "key").unwrap_or_default();
        let value = decode_base64(&field_text(body, "value").unwrap_or_default());
        let lease = field_number(body, "lease").unwrap_or(0);
        if !body.contains("\"precondition\":[]") || !body.contains("\"deletes\":[]") {
            return (400, "{}".to_owned());
        }
        self.change(|state| {
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            state.put(&key, value, lease);
            (200, format!("{{\"revision\":{}}}", state.revision))
        })
    }
}

fn encode_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_revision\":{},\"lease\":{}}}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// Returns the text of a field of flat JSON whose strings have no escapes.
fn field_text(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let end = json[start..].find('"')?;
    Some(json[start..start + end].to_owned())
}

fn field_number(json: &str, name: &str) -> Option<u64> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = json[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()))
            .flatten();
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let sextet = (word >> (18 - 6 * index)) & 63;
            let symbol = if index <= chunk.len() { ALPHABET[sextet as usize] } else { b'=' };
            text.push(char::from(symbol));
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for symbol in text.bytes().filter(|symbol| *symbol != b'=') {
        let sextet = ALPHABET.iter().position(|known| *known == symbol).unwrap_or(0);
        word = word << 6 | sextet as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
