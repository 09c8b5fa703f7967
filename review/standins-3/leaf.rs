//! Stand-in for a leaf: slots, a short queue, and the check of the instance.

use {
    crate::{
        http::{Connection, Message},
        record::Record,
        store::Store,
    },
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// A request that a leaf began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub leaf: String,
    pub id: String,
}

/// What a leaf is.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// Whether it answers with records, as a shard does.
    pub is_shard: bool,
    /// Time after which it closes an idle connection, as it says in `Keep-Alive`, seconds.
    pub idle_s: u64,
}

struct Shared {
    spec: Spec,
    address: SocketAddr,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Requests in slots, and those that wait for one.
    busy: (Mutex<(usize, usize)>, Condvar),
    /// Times as long as `work`.
    slowness: AtomicU64,
    count: AtomicUsize,
    logs: bool,
}

/// A running leaf.
#[derive(Clone)]
pub struct Leaf(Arc<Shared>);

impl Leaf {
    /// Starts a leaf; `runs` gets what it runs.
    pub fn start(
        ip: &str,
        spec: Spec,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        logs: bool,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            spec,
            record: record.clone(),
            runs: Arc::clone(runs),
            busy: (Mutex::new((0, 0)), Condvar::new()),
            slowness: AtomicU64::new(1),
            count: AtomicUsize::new(0),
            logs,
        });
        let own = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while own.serve(&mut connection).is_ok() {}
                });
            }
        });
        Ok(Self(shared))
    }

    /// Writes its entry; returns when the store has confirmed it.
    pub fn register(&self, store: &Store, state: &str, sequence: u64) -> Instant {
        let Shared { spec, address, .. } = &*self.0;
        let entry = format!(
            r#"{{"service":"{}","address":"{address}","zone":"{}","version":"v1","slots":{},"state":"{state}","warmup_remaining_ms":0,"sequence":{sequence},"born":1700000000000}}"#,
            spec.service, spec.zone, spec.slots
        );
        store.put(&format!("servers/{}", spec.id), &entry)
    }

    /// Makes its work take `times` as long.
    pub fn set_slowness(&self, times: u32) {
        self.0.slowness.store(times.into(), Ordering::SeqCst);
    }
}

impl Shared {
    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        let head = connection.read_head()?;
        let arrived = Instant::now();
        let request = Message {
            body: connection.read_body(&head)?,
            ..head
        };
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.word(1) == "/health" {
            return connection.answer("200 OK", &[("Instance-Id", &self.spec.id)], b"");
        }
        let expected = request.header("expected-instance");
        if expected.is_some_and(|expected| expected != self.spec.id) {
            let headers = [("Instance-Id", self.spec.id.as_str()), ("Request-Id", &id)];
            return connection.answer("421 Misdirected Request", &headers, b"");
        }
        if !self.take_slot() {
            let headers = [("Not-Executed", "1"), ("Request-Id", id.as_str())];
            return connection.answer("503 Service Unavailable", &headers, b"");
        }
        self.runs.lock().unwrap().push(Run {
            leaf: self.spec.id.clone(),
            id: id.clone(),
        });
        if self.logs {
            self.record
                .line_at(arrived, &format!("leaf {}: runs {id}", self.spec.id));
        }
        let times = self.slowness.load(Ordering::SeqCst) as u32;
        let is_closed = connection.is_closed_within(self.spec.work * times);
        self.free_slot();
        if is_closed {
            if self.logs {
                self.record.line(&format!(
                    "leaf {}: {id} ends without an answer",
                    self.spec.id
                ));
            }
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let stamp = format!("{}.{number:x}.{id}", self.spec.id);
        let keep_alive = format!("timeout={}", self.spec.idle_s);
        let load = self.busy.0.lock().unwrap().0;
        let load = format!("{load},0,{}", self.spec.slots);
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", &stamp),
            ("Server-Load", &load),
            ("Keep-Alive", &keep_alive),
        ];
        let body = if self.spec.is_shard {
            (0..4)
                .map(|place| format!("{:>12}{place:04}", self.spec.id))
                .collect::<String>()
        } else {
            format!("{} by {}", request.word(1), self.spec.id)
        };
        connection.answer("200 OK", &headers, body.as_bytes())
    }

    /// Takes a slot, and waits for one if the queue has room; returns whether it has one.
    fn take_slot(&self) -> bool {
        let (lock, freed) = &self.busy;
        let mut busy = lock.lock().unwrap();
        if busy.0 >= self.spec.slots && busy.1 >= self.spec.queue {
            return false;
        }
        busy.1 += 1;
        while busy.0 >= self.spec.slots {
            busy = freed.wait(busy).unwrap();
        }
        busy.1 -= 1;
        busy.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.busy.0.lock().unwrap().0 -= 1;
        self.busy.1.notify_one();
    }
}
