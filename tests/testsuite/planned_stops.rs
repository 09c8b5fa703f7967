//! A planned stop of a daemon, as callers on open connections see it.

use {
    crate::{
        fixtures::{DEADLINE, assert_clean, changed, deploy, plan, set_leaving, small},
        support::{Process, daemon_settings, start_daemon, status, wait_until},
    },
    briarquay::{
        Daemon,
        coordination::rollout::Submission,
        deployment::{Deployment, Plan},
        policy::caller_memory::Budget,
        settings::Settings,
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
        store::Fault,
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
        net::{TcpListener, TcpSocket, TcpStream},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until, timeout},
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
            budget: Budget {
                bytes: 1 << 20,
                connections: 1_000,
            },
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
    let (process, settings) = start_with_settings(deployment, folder).await;
    (process, settings.caller_address)
}

/// Does the same as [`start_beside`], and returns the settings of the daemon.
async fn start_with_settings(deployment: &Deployment, folder: &TempDir) -> (Process, Settings) {
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
    (process, settings)
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

/// Rows of each shard in an answer that is larger than the buffers of a narrow link.
const ROWS: u32 = 2_000;

/// Receive buffer of a caller on a narrow link, bytes.
const SMALL_BUFFER_BYTES: u32 = 4 << 10;

/// Returns the status of an answer and its missing bytes; `None` without a whole head.
fn missing_bytes(answer: &[u8]) -> Option<(String, usize)> {
    let end = answer.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let length = head.split("content-length: ").nth(1)?;
    let length: usize = length.lines().next()?.parse().ok()?;
    let status = head.split(' ').nth(1)?.to_owned();
    Some((status, length.saturating_sub(answer.len() - end - 4)))
}

fn query(id: &str, rows: u32) -> String {
    let work = Work {
        request: id.to_owned(),
        rows,
        crash: false,
    };
    let body = serde_json::to_string(&work).expect("JSON");
    format!(
        "POST /v1/services/search/query HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 2000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against a reset by bytes that follow the last request and takes the answer with it.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_the_last_answer_of_a_daemon_do_not_cut_it() {
    // Arrange
    let deployment = deploy(plan(4, 2)).await;
    let folder = TempDir::new().expect("a folder is made");
    let (mut process, entry) = start_beside(&deployment, &folder).await;

    // Act
    process.signal("TERM");
    let mut cut = Vec::new();
    let mut asking = tokio::task::JoinSet::new();
    for number in 0..7 {
        asking.spawn(async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            let size = socket.set_recv_buffer_size(SMALL_BUFFER_BYTES);
            size.expect("a size");
            let mut stream = socket.connect(entry).await.expect("it listens");
            let id = format!("last-{number}");
            let request = query(&id, ROWS);
            stream
                .write_all(request.as_bytes())
                .await
                .expect("it reads");
            sleep(Duration::from_millis(600)).await;
            // The answer to the first caller, who sends nothing more, arrives whole.
            if number > 0 {
                // How the connection ended shows in the answer.
                let _ = stream.write_all(get("/next").as_bytes()).await;
            }
            sleep(Duration::from_millis(200)).await;
            let mut answer = Vec::new();
            let end = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
            (id, missing_bytes(&answer), end)
        });
    }
    for (id, answer, end) in asking.join_all().await {
        let is_whole = matches!(&answer, Some((status, 0)) if status == "200");
        let runs = run_count(&deployment, &id);
        println!("{id}: {answer:?}, {runs} runs, {end:?}");
        if !is_whole {
            cut.push(format!("{id}: {answer:?}, {runs} runs"));
        }
    }
    wait_until("the daemon exits", || {
        let ended = process.child.try_wait().expect("it is a child");
        async move { ended.is_some() }
    })
    .await;

    // Assert
    assert!(cut.is_empty(), "{cut:#?}");
}

/// Guards against a reset of callers that still send a body which was answered early.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_of_a_daemon_is_not_reset_while_the_body_still_arrives() {
    let deployment = deploy(plan(4, 2)).await;
    let entry = deployment.entries()[0];
    let mut failures = Vec::new();
    for (status, path) in [
        ("404", "/none"),
        ("413", "/v1/services/search/query"),
        ("400", "/v1/services/search/query"),
    ] {
        let (deadline, pieces) = match status {
            "413" => ("2000", 20),
            "400" => ("x", 10),
            _ => ("2000", 10),
        };
        let piece = "b".repeat(20_000);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nx-deadline-ms: {deadline}\r\n\
             content-length: {}\r\n\r\n",
            pieces * piece.len()
        );
        let mut stream = TcpStream::connect(entry).await.expect("it listens");
        stream.write_all(head.as_bytes()).await.expect("it reads");
        let mut write_error = None;
        for _ in 0..pieces {
            write_error = write_error.or(stream.write_all(piece.as_bytes()).await.err());
            sleep(Duration::from_millis(25)).await;
        }
        let mut answer = Vec::new();
        let end = timeout(Duration::from_secs(1), stream.read_to_end(&mut answer)).await;
        let answer = missing_bytes(&answer);
        let is_whole = matches!(&answer, Some((got, 0)) if got == status);
        if !is_whole || write_error.is_some() || matches!(end, Ok(Err(_))) {
            failures.push(format!(
                "{status}: {answer:?}, write: {write_error:?}, end: {end:?}"
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a close of a kept connection on which a part of a head has arrived.
#[tokio::test]
async fn request_whose_head_has_arrived_in_part_at_the_close_is_answered() {
    let server = Server::start().await;
    let mut streams = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(server.address)
            .await
            .expect("it listens");
        let warm = get(&format!("/warm-{number}"));
        stream.write_all(warm.as_bytes()).await.expect("it reads");
        let mut answer = [0; 256];
        let length = stream.read(&mut answer).await.expect("it answers");
        assert!(answer[..length].ends_with(b"done"));
        let head = get(&format!("/last-{number}"));
        let (first, rest) = head.split_at(head.len() / 2);
        stream.write_all(first.as_bytes()).await.expect("it reads");
        streams.push((stream, rest.to_owned()));
    }
    sleep(Duration::from_millis(50)).await;

    server.stop.cancel();
    sleep(Duration::from_millis(50)).await;
    let mut sent = Vec::new();
    for (mut stream, rest) in streams {
        // How the connection ended shows in the answer.
        let _ = stream.write_all(rest.as_bytes()).await;
        sent.push(stream);
    }

    assert_all_answered(server, sent).await;
}

/// Guards against a stop that ends the connections of operators whose changes are being stored.
#[tokio::test(flavor = "multi_thread")]
async fn change_that_is_submitted_to_a_stopping_daemon_gets_an_answer() {
    // Arrange
    let document = changed(&small(2), |declaration| {
        declaration.services[1].deadlines.longest_ms = 40_000;
    });
    let deployment = deploy(plan(2, 2)).await;
    let folder = TempDir::new().expect("a folder is made");
    let (mut process, settings) = start_with_settings(&deployment, &folder).await;
    let submission = Submission {
        id: "late".into(),
        base: 1,
        who: "test".to_owned(),
        why: "test".to_owned(),
        document,
    };
    deployment.store.set_fault(Fault {
        delay_ms: 1_500,
        ..Fault::default()
    });

    // Act
    let body = Bytes::from(serde_json::to_vec(&submission).expect("JSON"));
    let operator = settings.operator_address;
    let submitting = tokio::spawn(async move {
        standin::http::once(operator, Method::POST, "/v1/declaration", body).await
    });
    // Time for the read of the declaration; its write follows.
    sleep(Duration::from_millis(1_700)).await;
    process.signal("TERM");
    let signalled = Instant::now();
    wait_until("the daemon exits", || {
        let ended = process.child.try_wait().expect("it is a child");
        async move { ended.is_some() }
    })
    .await;
    println!("the daemon ended after {:?}", signalled.elapsed());
    let answer = submitting.await.expect("no panic");

    // Assert
    let answer = answer.map(|(status, _)| status);
    assert!(answer.is_ok(), "{answer:?}");
}
