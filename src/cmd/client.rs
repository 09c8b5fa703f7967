//! Client of the operator API, and the command-line arguments that it needs.

use {
    crate::{
        coordination::rollout::{ChangeRecord, Submission},
        coordinator::status::Status,
        transport::operator::{Accepted, InForce, OperatorError},
    },
    bytes::Bytes,
    clap::{Args, ValueEnum},
    eyre::{Result, WrapErr, eyre},
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode, client::conn::http1::handshake},
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Time in which a daemon must respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Address of the daemon to call, and the output format.
#[derive(Clone, Debug, Args)]
pub struct Operator {
    /// Operator address of any daemon.
    #[arg(
        long,
        env = "BRIARQUAY_DAEMON",
        default_value = "127.0.0.1:7402",
        value_name = "IP:PORT"
    )]
    pub daemon: SocketAddr,
    /// Output format.
    #[arg(long, value_enum, default_value = "text")]
    pub output: Output,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
}

/// Prints `value` as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// Accepted as this revision.
    Accepted(u64),
    /// Another change was accepted first.
    Conflict(String),
    /// The document is invalid.
    Invalid(String),
    /// The submission did not take effect.
    NotRun(String),
    /// The submission may have taken effect.
    Unknown(String),
}

impl Operator {
    /// Returns the state of the cluster as the daemon sees it.
    pub async fn status(&self) -> Result<Status> {
        self.get("/v1/status").await
    }

    /// Returns the document in force.
    pub async fn in_force(&self) -> Result<InForce> {
        self.get("/v1/declaration").await
    }

    /// Returns the audit trail, with the archives of older changes when `all` is set.
    pub async fn history(&self, all: bool) -> Result<Vec<ChangeRecord>> {
        let path = if all {
            "/v1/history?all"
        } else {
            "/v1/history"
        };
        self.get(path).await
    }

    /// Removes a member from the cluster.
    pub async fn evict(&self, id: &str) -> Result<()> {
        let path = format!("/v1/evict/{id}");
        let (status, body) = self.call(Method::POST, &path, Bytes::new()).await?;
        if status == StatusCode::OK {
            return Ok(());
        }
        Err(eyre!("{}", error_of(&body).error))
    }

    /// Submits a declaration document.
    pub async fn submit(&self, submission: &Submission) -> Result<Submitted> {
        let body = Bytes::from(serde_json::to_vec(submission)?);
        let (status, body) = self.call(Method::POST, "/v1/declaration", body).await?;
        if status == StatusCode::OK {
            let accepted: Accepted = serde_json::from_slice(&body)?;
            return Ok(Submitted::Accepted(accepted.revision));
        }
        let failed = error_of(&body);
        Ok(match status {
            StatusCode::CONFLICT => Submitted::Conflict(failed.error),
            StatusCode::UNPROCESSABLE_ENTITY => Submitted::Invalid(failed.error),
            _ if failed.run == "not_run" => Submitted::NotRun(failed.error),
            _ => Submitted::Unknown(failed.error),
        })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        if status != StatusCode::OK {
            return Err(eyre!("{}", error_of(&body).error));
        }
        serde_json::from_slice(&body)
            .wrap_err("the daemon's response is not valid JSON of the expected form")
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes)> {
        let exchange = async {
            let stream = TcpStream::connect(self.daemon).await?;
            let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", self.daemon.to_string())
                .body(Full::new(body))?;
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, eyre::Report>((status, body))
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .wrap_err_with(|| format!("daemon {}: no response in time", self.daemon))?
            .wrap_err_with(|| format!("daemon {}", self.daemon))
    }
}

/// Decodes an error body. A body of another form counts as a call that may have run.
fn error_of(body: &[u8]) -> OperatorError {
    serde_json::from_slice(body).unwrap_or_else(|_| OperatorError {
        error: String::from_utf8_lossy(body).trim().to_owned(),
        run: "may_have_run".to_owned(),
    })
}
