//! The cases, and the client that they share.

pub mod drain;
pub mod endless;
pub mod late_rejection;
pub mod lost_watch;
pub mod stop;

use {
    crate::{
        http::{Connection, Message},
        world::{HOST, Record},
    },
    std::{io, net::SocketAddr, time::Duration},
};

/// Whether a rule was broken, and what was seen.
pub struct Verdict {
    pub rule: &'static str,
    pub is_broken: bool,
    pub text: String,
}

/// A client with one connection, which it keeps.
pub struct Client {
    connection: Connection,
    record: Record,
}

impl Client {
    pub fn connect(front: SocketAddr, record: &Record) -> io::Result<Self> {
        let connection = Connection::connect(front)?;
        Ok(Self { connection, record: record.clone() })
    }

    /// Sends a request and returns the answer, or an error if the connection ends without one.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> io::Result<Message> {
        self.record.line(&format!("send request {id}: {method} {path}"));
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("Request-Id", id),
            ("Deadline-Milliseconds", deadline.as_str()),
        ];
        let timeout = Duration::from_millis(deadline_ms + 2_000);
        self.connection.stream.set_read_timeout(Some(timeout))?;
        let first = format!("{method} {path} HTTP/1.1");
        let body = format!("body of {path}");
        let body = if method == "GET" { &[][..] } else { body.as_bytes() };
        let answer = self
            .connection
            .write(&first, &headers, body)
            .and_then(|()| self.connection.read());
        match &answer {
            Ok(answer) => self.record.line(&format!(
                "client has the answer of {id}: {}{}",
                answer.status(),
                answer.header("Retry-After").map_or(String::new(), |after| format!(
                    ", Retry-After {after}"
                ))
            )),
            Err(error) => self.record.line(&format!("client of {id}: no answer: {error}")),
        }
        answer
    }
}
