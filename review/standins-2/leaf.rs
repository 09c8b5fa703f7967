//! Leaves: they run requests one at a time on a connection, register in the store, and drop a
//! request whose connection closes.

use {
    crate::{
        fleet::Record,
        http::{Connection, Message},
        store::Store,
    },
    std::{
        io,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two looks at whether the caller of a running request has left.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which an idle connection stays open beyond what the leaf states.
const IDLE_RESERVE: Duration = Duration::from_millis(300);

/// A request at a leaf.
pub struct Arrival {
    pub leaf: String,
    pub id: String,
    /// Milliseconds since the start of the case.
    pub at_ms: u64,
    /// When the leaf stopped working on it.
    pub end_ms: Option<u64>,
}

/// All that leaves have got.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a leaf does; it may be changed while it runs.
pub struct Behaviour {
    pub work: Duration,
    /// Requests a second that the leaf states in `Server-Limit`.
    pub limit: Option<f64>,
    /// Records of 16 bytes in an answer.
    pub records: usize,
    /// Requests within a second that end the leaf.
    pub crash_at: Option<usize>,
    /// Path of requests that end the leaf as it begins to run them.
    pub deadly: Option<&'static str>,
    /// Seconds after which idle connections are closed, as the leaf states.
    pub idle_s: u64,
}

#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    born: u64,
    slots: u32,
    sequence: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
    arrivals: Arrivals,
}

impl Leaf {
    /// Starts a leaf at `ip` and `port` (0: a free one), without an entry in the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: (&str, u16),
        slots: u32,
        behaviour: Behaviour,
        record: &Record,
        arrivals: &Arrivals,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let leaf = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            behaviour: Arc::new(Mutex::new(behaviour)),
            born: now.as_millis() as u64,
            slots,
            sequence: Arc::default(),
            is_stopped: Arc::default(),
            connections: Arc::default(),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
        };
        let accepting = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let leaf = accepting.clone();
                thread::spawn(move || leaf.serve(Connection::new(stream)));
            }
        });
        Ok(leaf)
    }

    /// Writes the entry in the store.
    pub fn register(&self, store: &Store, state: &str, warmup_ms: u64) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let Self {
            id,
            service,
            address,
            zone,
            slots,
            born,
            ..
        } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\
                 \"warmup_remaining_ms\":{warmup_ms},\"sequence\":{sequence},\"born\":{born}}}"
            ),
        );
        self.record.line(&format!(
            "store: entry of {id}: {state}, cold for {warmup_ms} ms"
        ));
    }

    /// Ends the leaf: its connections are reset and its address refuses new ones.
    pub fn crash(&self) {
        if self.is_stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the listener, which closes.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("leaf {} crashes", self.id));
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    fn serve(&self, mut connection: Connection) {
        let idle = Duration::from_secs(self.behaviour.lock().unwrap().idle_s);
        let _ = connection
            .stream
            .set_read_timeout(Some(idle + IDLE_RESERVE));
        while let Ok(Some(request)) = connection.read() {
            if self.is_stopped.load(Ordering::SeqCst)
                || self.answer(&mut connection, &request).is_none()
            {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    /// Runs a request and answers it; `None` when the connection is of no more use.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Option<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.target() == "/health" {
            let headers = [("Instance-Id", self.id.as_str())];
            return connection.write("HTTP/1.1 200 OK", &headers, b"").ok();
        }
        if request
            .header("expected-instance")
            .is_some_and(|wanted| wanted != self.id)
        {
            let headers = [
                ("Instance-Id", self.id.as_str()),
                ("Request-Id", id.as_str()),
            ];
            return connection
                .write("HTTP/1.1 421 Misdirected Request", &headers, b"")
                .ok();
        }
        let (crash_at, deadly) = {
            let behaviour = self.behaviour.lock().unwrap();
            (behaviour.crash_at, behaviour.deadly)
        };
        let (index, in_second) = {
            let mut arrivals = self.arrivals.lock().unwrap();
            let now = self.record.now_ms();
            arrivals.push(Arrival {
                leaf: self.id.clone(),
                id: id.clone(),
                at_ms: now,
                end_ms: None,
            });
            let own = arrivals
                .iter()
                .rev()
                .filter(|arrival| arrival.leaf == self.id);
            let in_second = own
                .take_while(|arrival| arrival.at_ms + 1_000 > now)
                .count();
            (arrivals.len() - 1, in_second)
        };
        let tenant = request.header("tenant").unwrap_or("none");
        let (bytes, path) = (request.body.len(), request.target());
        self.record.line(&format!(
            "run: {id} at {}, {path}, {bytes} bytes, tenant {tenant}",
            self.id
        ));
        let is_deadly = deadly.is_some_and(|deadly| deadly == path);
        if is_deadly || crash_at.is_some_and(|most| in_second >= most) {
            self.crash();
            return None;
        }
        let (work, limit, records, idle_s) = {
            let behaviour = self.behaviour.lock().unwrap();
            let Behaviour {
                work,
                limit,
                records,
                idle_s,
                ..
            } = *behaviour;
            (work, limit, records, idle_s)
        };
        let until = Instant::now() + work;
        let mut has_caller = true;
        while has_caller && Instant::now() < until {
            thread::sleep(LOOK_INTERVAL.min(until.saturating_duration_since(Instant::now())));
            has_caller = !connection.is_closed();
        }
        let end = self.record.now_ms();
        self.arrivals.lock().unwrap()[index].end_ms = Some(end);
        if !has_caller || self.is_stopped.load(Ordering::SeqCst) {
            self.record.line(&format!(
                "run ends: {id} at {}, its connection closed",
                self.id
            ));
            return None;
        }
        let stamp = format!("{}.{index:x}", self.id.replace('-', ""));
        let limit = limit.map(|limit| limit.to_string());
        let keep_alive = format!("timeout={idle_s}");
        let mut headers = vec![
            ("Request-Id", id.as_str()),
            ("Server-Stamp", stamp.as_str()),
            ("Keep-Alive", keep_alive.as_str()),
        ];
        headers.extend(limit.as_deref().map(|limit| ("Server-Limit", limit)));
        let body: Vec<u8> = (0..records * 16)
            .map(|at| (at as u8).wrapping_mul(31))
            .collect();
        self.record
            .line(&format!("run ends: {id} at {}, answered 200", self.id));
        connection.write("HTTP/1.1 200 OK", &headers, &body).ok()
    }
}
