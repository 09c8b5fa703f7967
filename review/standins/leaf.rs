//! Stand-in for a leaf: registers in the store, runs requests in slots, and answers as a case
//! tells it.

use {
    crate::{
        http::{Connection, Message},
        store::Store,
        world::Record,
    },
    std::{
        collections::BTreeMap,
        io::{self, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// What a leaf does with a request.
pub enum Act {
    /// Runs it for this time and answers.
    Run(Duration),
    /// Rejects it as full, and sends the rejection once more after this time, if any.
    Full(Option<Duration>),
    /// Sends bytes that are no answer until the caller closes: interim heads, or in a body the
    /// size of its first chunk.
    Endless(Endless),
}

/// Where the bytes without end are.
#[derive(Clone, Copy)]
pub enum Endless {
    Head,
    Body,
}

type Plan = dyn Fn(&Leaf, &Message) -> Act + Send + Sync;

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_draining: AtomicBool,
    /// Whether the process runs; a leaf that has ended refuses connections.
    is_up: AtomicBool,
    is_listed: AtomicBool,
    slots: u32,
    queue: u32,
    /// Requests that run, and those that wait for a slot.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
    sequence: AtomicU64,
    born: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// Requests that named this leaf, with the time of their arrival.
    pub arrivals: Mutex<Vec<(u64, String)>>,
    pub answers: AtomicU64,
    store: Store,
    record: Record,
    plan: Box<Plan>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn send_endless(connection: &mut Connection, place: Endless) -> io::Result<()> {
    let (first, unit) = match place {
        Endless::Head => ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        Endless::Body => ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    };
    connection.stream.write_all(first.as_bytes())?;
    let bytes = unit.repeat(16_000 / unit.len());
    loop {
        connection.stream.write_all(bytes.as_bytes())?;
    }
}

/// What a leaf is and does.
pub struct Spec<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    pub queue: u32,
}

impl Leaf {
    pub fn start(
        spec: Spec<'_>,
        store: &Store,
        record: &Record,
        plan: impl Fn(&Self, &Message) -> Act + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((spec.ip.as_str(), 0))?;
        let leaf = Arc::new(Self {
            id: spec.id.to_owned(),
            service: spec.service.to_owned(),
            zone: spec.zone,
            address: listener.local_addr()?,
            is_draining: AtomicBool::new(false),
            is_up: AtomicBool::new(true),
            is_listed: AtomicBool::new(true),
            slots: spec.slots,
            queue: spec.queue,
            load: Mutex::default(),
            freed: Condvar::new(),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(unix_ms()),
            connections: Mutex::default(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            answers: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
            plan: Box::new(plan),
        });
        leaf.accept(listener);
        leaf.write_entry();
        // Further check-ins change nothing but the sequence, so the entry stays as it is.
        Ok(leaf)
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let leaf = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !leaf.is_up.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    leaf.connections.lock().unwrap().push(copy);
                }
                let leaf = Arc::clone(&leaf);
                thread::spawn(move || {
                    let _ = leaf.handle(Connection::new(stream));
                });
            }
        });
    }

    fn write_entry(&self) {
        if !self.is_up.load(Ordering::SeqCst) || !self.is_listed.load(Ordering::SeqCst) {
            return;
        }
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        self.store.put(
            &format!("servers/{}", self.id),
            &format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"{state}\",\"warmup_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":{}}}",
                self.service,
                self.address,
                self.zone,
                self.slots,
                self.born.load(Ordering::SeqCst)
            ),
        );
    }

    /// Reports `draining`; the store has accepted it when this returns.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.write_entry();
        self.record.line(&format!("leaf {} is draining, accepted by the store", self.id));
    }

    /// Removes the entry; the store has accepted it when this returns.
    pub fn leave(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.store.delete(&format!("servers/{}", self.id));
        self.record.line(&format!("leaf {}: entry removed", self.id));
    }

    /// Ends the process: open connections break off, new ones are refused.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // The next connection attempt wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        *self.load.lock().unwrap() = (0, 0);
        self.record.line(&format!("leaf {} has ended", self.id));
    }

    /// Takes a slot, or waits for one in the queue; false when the queue is full.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.slots {
            if load.1 >= self.queue {
                return false;
            }
            load.1 += 1;
            while load.0 >= self.slots {
                load = self.freed.wait(load).unwrap();
            }
            load.1 = load.1.saturating_sub(1);
        }
        load.0 += 1;
        true
    }

    fn free_slot(&self) {
        let mut load = self.load.lock().unwrap();
        load.0 = load.0.saturating_sub(1);
        self.freed.notify_one();
    }

    fn handle(self: &Arc<Self>, mut connection: Connection) -> io::Result<()> {
        loop {
            let request = connection.read()?;
            let id = request.header("Request-Id").unwrap_or("").to_owned();
            let named = request.header("Expected-Instance").unwrap_or("").to_owned();
            let draining = self.is_draining.load(Ordering::SeqCst)
                || !self.is_listed.load(Ordering::SeqCst);
            self.record.line(&format!(
                "arrive request {id} at leaf {}{}",
                self.id,
                if draining { " (draining or gone)" } else { "" }
            ));
            if !named.is_empty() && named != self.id {
                let headers = [("Request-Id", id.as_str()), ("Instance-Id", self.id.as_str())];
                connection.write("HTTP/1.1 421 Misdirected Request", &headers, b"")?;
                continue;
            }
            self.arrivals.lock().unwrap().push((self.record.now_ms(), id.clone()));
            let act = (self.plan)(self, &request);
            self.answers.fetch_add(1, Ordering::SeqCst);
            let is_full = matches!(act, Act::Full(_)) || !self.take_slot();
            if is_full {
                self.record.line(&format!("reject request {id} at leaf {}: full", self.id));
                let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                let first = "HTTP/1.1 503 Service Unavailable";
                connection.write(first, &headers, b"")?;
                if let Act::Full(Some(after)) = act {
                    let mut copy = Connection::new(connection.stream.try_clone()?);
                    let (leaf, id) = (Arc::clone(self), id.clone());
                    thread::spawn(move || {
                        thread::sleep(after);
                        leaf.record.line(&format!(
                            "leaf {} sends the rejection of {id} once more (fault)",
                            leaf.id
                        ));
                        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                        let _ = copy.write(first, &headers, b"");
                    });
                }
                continue;
            }
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            self.record.line(&format!("run request {id} at leaf {}", self.id));
            let work = match act {
                Act::Run(work) => work,
                Act::Full(_) => Duration::ZERO,
                Act::Endless(place) => {
                    self.record.line(&format!("leaf {} sends bytes without end", self.id));
                    let _ = send_endless(&mut connection, place);
                    self.record.line(&format!("leaf {}: the caller has closed", self.id));
                    self.free_slot();
                    return Ok(());
                }
            };
            thread::sleep(work);
            self.free_slot();
            if !self.is_up.load(Ordering::SeqCst) {
                return Ok(());
            }
            let stamp = format!("3e1b.07.{}.600.0.c9f2a4d1", id);
            let headers =
                [("Request-Id", id.as_str()), ("Server-Stamp", &stamp), ("Keep-Alive", "timeout=10")];
            self.record.line(&format!("answer request {id} at leaf {}: 200", self.id));
            connection.write("HTTP/1.1 200 OK", &headers, b"0123456789abcdef")?;
        }
    }
}
