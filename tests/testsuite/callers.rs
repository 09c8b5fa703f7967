//! Each caller gets the complete response to its own request, and a clear error for bad input.

use {
    crate::fixtures::{DEADLINE, assert_clean, deploy, plan, search},
    bytes::Bytes,
    hyper::{Method, StatusCode},
    standin::{
        client::{Ask, Caller},
        http::Connection,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_the_response_to_its_own_request_while_others_time_out_or_disconnect() {
    // Arrange
    let deployment = deploy(plan(6, 3)).await;
    for target in deployment.fleet.targets().iter().step_by(4) {
        target.change(|behaviour| behaviour.slow_factor = 30);
    }

    // Act
    let mut callers = tokio::task::JoinSet::new();
    for (number, entry) in deployment
        .entries()
        .into_iter()
        .cycle()
        .take(60)
        .enumerate()
    {
        let caller = Caller::new(entry, deployment.history.clone());
        callers.spawn(async move {
            for turn in 0..5 {
                // After short deadlines, late replies arrive on pooled connections.
                let deadline = Duration::from_millis([15, 40, 2_000][(number + turn) % 3]);
                let mut ask = Ask::query("search", &format!("q-{number}-{turn}"), deadline);
                ask.work.rows = 4;
                let asked = caller.ask(&ask);
                if number % 7 == 0 {
                    let _ = timeout(Duration::from_millis(5), asked).await;
                } else {
                    asked.await;
                }
            }
        });
    }
    callers.join_all().await;

    // Assert
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_get_responses_in_order() {
    // Arrange
    let deployment = deploy(plan(4, 3)).await;
    let mut stream = TcpStream::connect(deployment.entries()[0])
        .await
        .expect("it connects");
    let request = |id: &str| {
        let body = format!("{{\"request\":\"{id}\"}}");
        format!(
            "POST /v1/services/search/query HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };

    // Act
    let both = format!("{}{}", request("first"), request("second"));
    stream.write_all(both.as_bytes()).await.expect("it writes");
    let mut text = String::new();
    while text.matches("\"coverage\"").count() < 2 {
        let mut buffer = [0; 4_096];
        let read = timeout(DEADLINE, stream.read(&mut buffer)).await;
        let length = read.expect("in time").expect("it reads");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }

    // Assert
    let position = |id: &str| text.find(&format!("\"request\":\"{id}\"")).expect(id);
    assert!(position("first") < position("second"));
}

/// Path, headers and body length of a request; status and a word of the error response.
type BadRequest<'a> = (&'a str, Vec<(&'a str, &'a str)>, usize, u16, &'a str);

async fn post(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> (StatusCode, String) {
    let headers: Vec<(&str, String)> = headers
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()))
        .collect();
    let mut connection = Connection::open(entry).await.expect("it connects");
    let (status, body) = connection
        .send(Method::POST, path, &headers, Bytes::from(body))
        .await
        .expect("it answers");
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_an_error_with_the_reason_and_the_verdict_not_run() {
    // Arrange
    let deployment = deploy(plan(4, 3)).await;
    let entry = deployment.entries()[0];
    let path = "/v1/services/search/query";
    let long_id = "x".repeat(200);
    let cases: [BadRequest<'_>; 9] = [
        (path, vec![("x-deadline-ms", "0")], 2, 400, "x-deadline-ms"),
        (
            path,
            vec![("x-deadline-ms", "soon")],
            2,
            400,
            "x-deadline-ms",
        ),
        (
            path,
            vec![("x-deadline-ms", "99999999")],
            2,
            400,
            "too long",
        ),
        (
            path,
            vec![("x-request-id", &long_id)],
            2,
            400,
            "x-request-id",
        ),
        (
            path,
            vec![("idempotency-key", "a b")],
            2,
            400,
            "idempotency-key",
        ),
        (path, vec![], 300 << 10, 413, "too long"),
        ("/v1/services/nobody/query", vec![], 2, 404, "nobody"),
        (
            "/v1/services/charge/query",
            vec![],
            2,
            400,
            "idempotency-key",
        ),
        ("/elsewhere", vec![], 2, 404, "no such path"),
    ];

    for (path, headers, length, status, word) in cases {
        // Act
        let got = post(entry, path, &headers, vec![b'{'; length]).await;

        // Assert
        assert_eq!(got.0.as_u16(), status, "{path} {headers:?}: {}", got.1);
        assert!(got.1.contains("\"run\":\"not_run\""), "{}", got.1);
        assert!(got.1.contains(word), "{word}: {}", got.1);
    }
    assert_clean(&deployment.history.events());
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_is_rejected_while_other_callers_are_served() {
    // Arrange
    let deployment = deploy(plan(4, 3)).await;
    let entry = deployment.entries()[0];
    let mut slow = TcpStream::connect(entry).await.expect("it connects");
    let head = "POST /v1/services/search/query HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{";
    slow.write_all(head.as_bytes()).await.expect("it writes");

    // Act
    let got = search(&deployment, entry, "meanwhile").await;
    let mut buffer = [0; 1_024];
    let read = timeout(Duration::from_secs(10), slow.read(&mut buffer)).await;

    // Assert
    assert_eq!(got.answered, 4);
    let length = read.expect("in time").expect("it reads");
    let text = String::from_utf8_lossy(&buffer[..length]);
    assert!(text.contains("408"), "{text}");
    assert!(text.contains("not_run"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_served_after_a_pause() {
    // Arrange
    let deployment = deploy(plan(4, 3)).await;
    let caller = Caller::new(deployment.entries()[0], deployment.history.clone());
    caller.ask(&Ask::query("search", "first", DEADLINE)).await;

    // Act: pause for longer than the timeout for receiving a body.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let got = caller.ask(&Ask::query("search", "second", DEADLINE)).await;

    // Assert
    assert_eq!((got.status, got.answered), (200, 4), "{got:?}");
}
