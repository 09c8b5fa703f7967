//! Stand-in for a client: sends one request on a connection of its own and reads the answer.

use {
    crate::http::{Connection, Message},
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// A request of a client.
#[derive(Clone, Default)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

/// Host name of all routes.
pub const SITE: &str = "desk.example";

impl Ask {
    /// Sends the request on `connection` and reads the answer.
    pub fn send_on(&self, connection: &mut Connection) -> io::Result<Message> {
        let limit = Duration::from_millis(self.deadline_ms + 2_000);
        connection.stream.set_read_timeout(Some(limit))?;
        connection.stream.set_write_timeout(Some(limit))?;
        let deadline = self.deadline_ms.to_string();
        let bearer = self.key.as_ref().map(|key| format!("Bearer {key}"));
        let mut headers = vec![
            ("Host", SITE),
            ("Request-Id", self.id.as_str()),
            ("Deadline-Milliseconds", deadline.as_str()),
        ];
        headers.extend(
            bearer
                .as_ref()
                .map(|bearer| ("Authorization", bearer.as_str())),
        );
        connection.ask(self.method, &self.path, &headers, &self.body)?;
        connection.read()
    }

    /// Sends the request to `front` and reads the answer.
    pub fn send(&self, front: SocketAddr) -> io::Result<Message> {
        let mut connection = Connection::open(front, Duration::from_secs(1))?;
        self.send_on(&mut connection)
    }
}

/// Returns what became of a request in a few words.
pub fn describe(answer: &io::Result<Message>, sent: Instant) -> String {
    let took = sent.elapsed().as_millis();
    match answer {
        Ok(answer) => format!("{} after {took} ms", answer.status()),
        Err(error) => format!("no answer ({error}) after {took} ms"),
    }
}
