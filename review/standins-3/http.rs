//! HTTP/1.1 over blocking sockets, as little of it as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the part `place` of the first line.
    pub fn word(&self, place: usize) -> &str {
        self.start.split(' ').nth(place).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with what was read of it and not used.
pub struct Connection {
    pub stream: TcpStream,
    unused: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unused: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.unused.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unused.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.unused.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unused.len() < count {
            self.fill()?;
        }
        Ok(self.unused.drain(..count).collect())
    }

    /// Reads the next message with its body.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        message.body = self.read_body(&message)?;
        Ok(message)
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to `head`.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        let is_chunked = head
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if !is_chunked {
            let length = head.header("content-length");
            let length = length.and_then(|length| length.parse().ok());
            return self.exact(length.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.exact(size)?);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Waits up to `limit` for the other side to close; returns whether it did.
    pub fn is_closed_within(&mut self, limit: Duration) -> bool {
        if !self.unused.is_empty() {
            std::thread::sleep(limit);
            return false;
        }
        let _ = self
            .stream
            .set_read_timeout(Some(limit.max(Duration::from_millis(1))));
        let mut byte = [0; 1];
        let from = Instant::now();
        let read = self.stream.peek(&mut byte);
        let _ = self.stream.set_read_timeout(None);
        match read {
            Ok(0) => true,
            Ok(_) => {
                std::thread::sleep(limit.saturating_sub(from.elapsed()));
                false
            }
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        }
    }

    /// Writes an answer.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Writes a request.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
