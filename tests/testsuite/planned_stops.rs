//! A planned stop of a daemon, as callers on open connections see it.

use {
    crate::{
        fixtures::{DEADLINE, assert_clean, changed, deploy, plan, set_leaving, small},
        support::{Process, daemon_settings, start_daemon, status, wait_until},
    },
    briarquay::{
        Daemon,
        deployment::{Deployment, Plan},
        transport::http::{self, Limits},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    standin::{
        check,
        client::{self, Ask},
        history::{CallerGot, Event},
        http::Connection,
        target::Work,
    },
    std::{
        convert::Infallible,
        io::Write,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
    tower::service_fn,
};

/// Connections on which requests arrive at the moment of the close.
const CONNECTIONS: usize = 20;

/// Time between failing readiness and closing idle connections.
const DRAIN: Duration = Duration::from_millis(300);

/// Callers that keep an idle connection until about the close, and send one request then.
const KEPT: u32 = 200;

/// Time before the close at which the first of them sends, and after it at which the last does.
const CLOSE_MARGIN: Duration = Duration::from_millis(30);

/// The server of the endpoints for callers and operators, with the paths that it has served.
struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    served: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it is bound");
        let served: Arc<Mutex<Vec<String>>> = Arc::default();
        let limits = Limits {
            connections: 1_000,
            head_timeout: Duration::from_mins(1),
        };
        let stop = CancellationToken::new();
        let paths = Arc::clone(&served);
        let service = service_fn(move |request: Request<Incoming>| {
            let path = request.uri().path().to_owned();
            paths.lock().expect("the lock").push(path);
            async { Ok::<_, Infallible>(http::text(StatusCode::OK, "done")) }
        });
        let task = tokio::spawn(http::serve(listener, limits, stop.clone(), service));
        Self {
            address,
            stop,
            served,
            task,
        }
    }

    fn has_served(&self, path: &str) -> bool {
        let served = self.served.lock().expect("the lock");
        served.iter().any(|one| one == path)
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// Returns what arrives on each connection until it ends, in the order of the connections.
async fn read_all(streams: Vec<TcpStream>) -> Vec<String> {
    let mut texts = Vec::new();
    for mut stream in streams {
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text).await;
        texts.push(text);
    }
    texts
}

async fn assert_all_answered(server: Server, streams: Vec<TcpStream>) {
    let texts = read_all(streams).await;
    server.task.await.expect("it ends");
    let answered = texts.iter().filter(|text| text.ends_with("done")).count();
    assert_eq!(answered, CONNECTIONS, "answered, of {CONNECTIONS}");
}

/// Guards against a close that drops a request which the socket of an idle connection holds.
///
/// The task doesn't yield between the writes and the stop, so the server can't have seen the
/// requests; the same holds for the next two tests.
#[tokio::test]
async fn requests_that_idle_connections_hold_at_the_close_are_answered() {
    let server = Server::start().await;
    let mut streams = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(server.address)
            .await
            .expect("it listens");
        let path = format!("/warm-{number}");
        let request = get(&path);
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        let mut answer = [0; 256];
        let length = stream.read(&mut answer).await.expect("it answers");
        assert!(answer[..length].ends_with(b"done"));
        streams.push(stream);
    }

    for (number, stream) in streams.iter().enumerate() {
        let request = get(&format!("/last-{number}"));
        stream.try_write(request.as_bytes()).expect("room for it");
    }
    server.stop.cancel();

    assert_all_answered(server, streams).await;
}

/// Guards against a close that drops the first request of a connection.
#[tokio::test]
async fn requests_that_new_connections_hold_at_the_close_are_answered() {
    let server = Server::start().await;
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(server.address).await;
        streams.push(stream.expect("it listens"));
    }
    // Requests served on a later connection show that these have been accepted.
    let probe = standin::http::once(server.address, Method::GET, "/probe", Bytes::new()).await;
    assert_eq!(probe.expect("it answers").0, StatusCode::OK);

    for (number, stream) in streams.iter().enumerate() {
        let request = get(&format!("/first-{number}"));
        stream.try_write(request.as_bytes()).expect("room for it");
    }
    server.stop.cancel();

    assert_all_answered(server, streams).await;
}

/// Guards against a close that resets the connections which wait to be accepted.
#[tokio::test]
async fn requests_on_connections_that_wait_to_be_accepted_at_the_close_are_answered() {
    let server = Server::start().await;
    sleep(Duration::from_millis(20)).await;

    let mut waiting = Vec::new();
    for number in 0..CONNECTIONS {
        let stream = std::net::TcpStream::connect(server.address);
        let mut stream = stream.expect("the kernel accepts it");
        let request = get(&format!("/queued-{number}"));
        stream.write_all(request.as_bytes()).expect("room for it");
        stream.set_nonblocking(true).expect("an open socket");
        waiting.push(stream);
    }
    server.stop.cancel();

    let streams = waiting.into_iter().map(TcpStream::from_std);
    let streams: Result<Vec<TcpStream>, _> = streams.collect();
    assert_all_answered(server, streams.expect("open sockets")).await;
}

/// Guards against connections without a request that keep a stopping server.
#[tokio::test]
async fn stop_closes_connections_without_a_request_at_once() {
    let server = Server::start().await;
    let mut idle = TcpStream::connect(server.address)
        .await
        .expect("it listens");
    idle.write_all(get("/warm").as_bytes())
        .await
        .expect("it reads");
    let mut answer = [0; 256];
    let _ = idle.read(&mut answer).await.expect("it answers");
    let unused = TcpStream::connect(server.address)
        .await
        .expect("it listens");
    sleep(Duration::from_millis(20)).await;

    let stopped = Instant::now();
    server.stop.cancel();
    let texts = read_all(vec![idle, unused]).await;
    assert!(server.has_served("/warm"));
    server.task.await.expect("it ends");

    assert_eq!(texts, ["", ""]);
    assert!(stopped.elapsed() < Duration::from_secs(2));
}

/// A request that a caller sent around a stop.
#[derive(Debug)]
struct Sent {
    id: String,
    /// Time after the signal at which it was sent.
    at: Duration,
    /// Status of the whole answer, or how the connection ended without one.
    outcome: Result<StatusCode, String>,
}

/// A caller that keeps its connection.
struct Caller(SendRequest<Full<Bytes>>);

impl Caller {
    /// Connects to a daemon; `None` if it refuses or resets the connection.
    async fn connect(entry: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(entry).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self(sender))
    }

    /// Sends a query; `None` if it was not sent because the connection had ended.
    async fn send(&mut self, id: &str, signalled: Instant) -> Option<Sent> {
        let work = Work {
            request: id.to_owned(),
            rows: 1,
            crash: false,
        };
        let request = Request::post("/v1/services/search/query")
            .header("host", "x")
            .header("x-request-id", id)
            .header("x-deadline-ms", "2000")
            .body(Full::from(serde_json::to_vec(&work).expect("JSON")));
        self.0.ready().await.ok()?;
        let at = signalled.elapsed();
        let answer = self.0.send_request(request.expect("a request")).await;
        let outcome = match answer {
            Ok(answer) => {
                let status = answer.status();
                let body = answer.into_body().collect().await;
                body.map(|_| status).map_err(|error| format!("{error:?}"))
            }
            Err(error) if error.is_canceled() => return None,
            Err(error) => Err(format!("{error:?}")),
        };
        Some(Sent {
            id: id.to_owned(),
            at,
            outcome,
        })
    }
}

/// Sends one request after the other until the daemon refuses connections. Connects again
/// after each close.
async fn send_until_gone(entry: SocketAddr, name: String, signalled: Instant) -> Vec<Sent> {
    let mut sent = Vec::new();
    while let Some(mut caller) = Caller::connect(entry).await {
        while let Some(request) = caller
            .send(&format!("{name}-{}", sent.len()), signalled)
            .await
        {
            sent.push(request);
            sleep(Duration::from_millis(3)).await;
        }
    }
    sent
}

/// Starts a daemon process beside the daemons of `deployment`, and waits until it serves.
async fn start_beside(deployment: &Deployment, folder: &TempDir) -> (Process, SocketAddr) {
    let seeds: Vec<SocketAddr> = deployment
        .daemons
        .iter()
        .map(Daemon::peer_address)
        .collect();
    let mut settings = daemon_settings(9, deployment.store.address, &seeds);
    settings.domain = "north".into();
    settings.drain_ms = u64::try_from(DRAIN.as_millis()).expect("a short time");
    let process = start_daemon(folder, &settings);
    wait_until("the daemon owns leaves", || async {
        let status = status(settings.operator_address).await;
        status.is_some_and(|status| status.owned > 0)
    })
    .await;
    (process, settings.caller_address)
}

fn run_count(deployment: &Deployment, id: &str) -> usize {
    let events = deployment.history.events();
    let started = events
        .iter()
        .filter(|timed| matches!(&timed.event, Event::Started(started) if started.request == id));
    started.count()
}

/// Guards against requests of callers that stay until the daemon is gone, which targets ran
/// and which were cut; and against a second signal that ends the daemon.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_any_moment_of_a_stop_are_answered_if_a_target_ran_them() {
    // Arrange
    let deployment = deploy(plan(4, 2)).await;
    let folder = TempDir::new().expect("a folder is made");
    let (mut process, entry) = start_beside(&deployment, &folder).await;
    let mut kept = Vec::new();
    for number in 0..KEPT {
        let mut caller = Caller::connect(entry).await.expect("it listens");
        let warm = caller.send(&format!("warm-{number}"), Instant::now()).await;
        let warm = warm.expect("an open connection");
        assert!(warm.outcome.is_ok(), "{warm:?}");
        kept.push(caller);
    }

    // Act
    let signalled = Instant::now();
    process.signal("TERM");
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..8 {
        callers.spawn(send_until_gone(entry, format!("stay-{number}"), signalled));
    }
    for (number, mut caller) in (0..).zip(kept) {
        let at = (DRAIN + CLOSE_MARGIN * 2 * number / KEPT).saturating_sub(CLOSE_MARGIN);
        callers.spawn(async move {
            sleep_until(signalled + at).await;
            let sent = caller.send(&format!("close-{number}"), signalled).await;
            sent.into_iter().collect()
        });
    }
    sleep_until(signalled + DRAIN / 2).await;
    process.signal("TERM");
    let sent = callers
        .join_all()
        .await
        .into_iter()
        .flatten()
        .collect::<Vec<Sent>>();
    wait_until("the daemon exits", || {
        let ended = process.child.try_wait().expect("it is a child");
        async move { ended.is_some() }
    })
    .await;

    // Assert
    let exit = process.child.wait().expect("it is a child");
    assert!(exit.success(), "{exit:?}");
    let unanswered = sent.iter().filter(|request| request.outcome.is_err());
    let unanswered: Vec<&Sent> = unanswered.collect();
    println!("{} sent, {} unanswered", sent.len(), unanswered.len());
    for Sent { id, at, outcome } in unanswered {
        println!("{id}, sent after {at:?}: {outcome:?}");
        let runs = run_count(&deployment, id);
        assert_eq!(runs, 0, "{id} ran and got no answer");
    }
    assert!(sent.len() > 100, "requests were sent throughout the stop");
}

/// Asks for a charge that no target takes, with a deadline after the longest stop.
async fn charge_for_long(entry: SocketAddr, id: &'static str) -> Option<(StatusCode, String)> {
    let work = Work {
        request: id.to_owned(),
        rows: 1,
        crash: false,
    };
    let headers = [
        ("x-request-id", id.to_owned()),
        ("idempotency-key", id.to_owned()),
        ("x-deadline-ms", "40000".to_owned()),
    ];
    let body = Bytes::from(serde_json::to_vec(&work).expect("JSON"));
    let mut connection = Connection::open(entry).await.expect("it listens");
    let path = "/v1/services/charge/query";
    let answer = connection.send(Method::POST, path, &headers, body).await;
    let (status, body) = answer.ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Guards against a cut of requests that have more time left than a stop may take.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_deadline_is_after_the_end_of_a_stop_are_answered_before_it() {
    // Arrange
    let document = changed(&small(2), |declaration| {
        declaration.services[1].deadlines.longest_ms = 40_000;
        for name in ["charge-0", "charge-1", "charge-2"] {
            set_leaving(declaration, name);
        }
    });
    let deployment = deploy(Plan {
        document,
        ..plan(2, 2)
    })
    .await;
    let folder = TempDir::new().expect("a folder is made");
    let (mut process, entry) = start_beside(&deployment, &folder).await;

    // Act
    let before = tokio::spawn(charge_for_long(entry, "before"));
    sleep(Duration::from_millis(200)).await;
    process.signal("TERM");
    sleep(DRAIN / 3).await;
    let during = tokio::spawn(charge_for_long(entry, "during"));
    wait_until("the daemon exits", || {
        let ended = process.child.try_wait().expect("it is a child");
        async move { ended.is_some() }
    })
    .await;

    // Assert
    for asked in [before, during] {
        let answer = asked.await.expect("no panic");
        let (status, body) = answer.expect("a whole answer");
        assert!(status.is_server_error(), "{status}: {body}");
        assert!(body.contains("\"run\":"), "{body}");
    }
}

/// Guards against the same at a server with several threads, which close and poll at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_that_wait_at_the_close_of_a_server_with_threads_are_answered() {
    let mut unanswered = 0;
    for _ in 0..200 {
        let server = Server::start().await;
        sleep(Duration::from_millis(1)).await;

        let stream = std::net::TcpStream::connect(server.address);
        let mut stream = stream.expect("the kernel accepts it");
        stream.write_all(get("/").as_bytes()).expect("room for it");
        server.stop.cancel();

        stream.set_nonblocking(true).expect("an open socket");
        let streams = vec![TcpStream::from_std(stream).expect("an open socket")];
        unanswered += u32::from(!read_all(streams).await[0].ends_with("done"));
        server.task.await.expect("it ends");
    }
    assert_eq!(unanswered, 0, "unanswered, of 200");
}

/// Guards against requests that must run once and that a stopping owner leaves unknown.
#[tokio::test(flavor = "multi_thread")]
async fn charges_during_the_stops_of_all_other_owners_are_answered() {
    // Arrange
    let mut deployment = deploy(plan(2, 4)).await;
    let entry = deployment.entries()[0];
    let history = deployment.history.clone();

    // Act
    let mut charges = tokio::task::JoinSet::new();
    let started = Instant::now();
    for number in 0..600 {
        let caller = client::Caller::new(entry, history.clone());
        charges.spawn(async move {
            sleep_until(started + Duration::from_millis(6) * number).await;
            let id = format!("charge-{number}");
            caller.ask(&Ask::once("charge", &id, &id, DEADLINE)).await
        });
    }
    for daemon in deployment.daemons.drain(1..) {
        sleep(Duration::from_millis(200)).await;
        daemon.stop().await;
    }
    let took = started.elapsed();
    let got = charges.join_all().await;

    // Assert
    let runs = |got: &CallerGot| run_count(&deployment, &got.request);
    let failed: Vec<_> = got.iter().filter(|got| got.status != 200).collect();
    let unrun = failed.iter().filter(|got| runs(got) == 0).count();
    println!(
        "three stops in {took:?}, {} failed, {unrun} of them did not run",
        failed.len()
    );
    let events = history.events();
    assert_clean(&events);
    assert_eq!(check::nothing_lost(&events), []);
}

/// Guards against a daemon that a reload signal ends at once, with its requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn reload_signal_does_not_end_a_daemon() {
    // Arrange
    let deployment = deploy(plan(2, 2)).await;
    let folder = TempDir::new().expect("a folder is made");
    let (mut process, entry) = start_beside(&deployment, &folder).await;
    let mut caller = Caller::connect(entry).await.expect("it listens");

    // Act
    process.signal("HUP");
    sleep(Duration::from_millis(300)).await;
    let sent = caller.send("after-reload", Instant::now()).await;
    let exit = process.child.try_wait().expect("it is a child");

    // Assert
    assert_eq!(exit, None, "it runs on");
    let sent = sent.expect("an open connection");
    assert_eq!(sent.outcome.ok(), Some(StatusCode::OK));
}
