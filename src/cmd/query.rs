//! `briarquay query`: sends one query.

use {
    super::Outcome,
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode, client::conn::http1::handshake},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Time after the deadline for which the client still waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Arguments of `query`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Service to query.
    service: String,
    /// Request body, in the format of the service's targets.
    body: String,
    /// Caller address of any daemon.
    #[arg(long, default_value = "127.0.0.1:7400", value_name = "IP:PORT")]
    entry: SocketAddr,
    /// Deadline of the query, milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// Idempotency key, for a request that must run at most once.
    #[arg(long)]
    key: Option<String>,
}

/// Sends the query and prints the response or the rejection.
pub async fn execute(args: Args) -> Result<Outcome> {
    let wait_time = Duration::from_millis(args.deadline_ms) + RESPONSE_GRACE;
    let (status, body) = timeout(wait_time, send_query(&args))
        .await
        .wrap_err("no response in time")?
        .wrap_err_with(|| format!("entry host {}", args.entry))?;
    println!("{}", String::from_utf8_lossy(&body));
    Ok(if status == StatusCode::OK {
        Outcome::Done
    } else {
        Outcome::Failed
    })
}

async fn send_query(args: &Args) -> Result<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(args.entry).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::post(format!("/v1/services/{}/query", args.service))
        .header("host", args.entry.to_string())
        .header("x-deadline-ms", args.deadline_ms);
    if let Some(key) = &args.key {
        request = request.header("idempotency-key", key);
    }
    let body = Full::new(Bytes::from(args.body.clone()));
    let response = sender.send_request(request.body(body)?).await?;
    let status = response.status();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}
