//! Clients: each attempt on a new connection.

use {
    crate::http::{Connection, Message},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

fn connect(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(Connection::new(stream))
}

fn read_answer(connection: &mut Connection) -> io::Result<Message> {
    connection
        .read()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request and returns its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut connection = connect(address, limit)?;
    connection.write(&format!("{method} {path} HTTP/1.1"), headers, body)?;
    read_answer(&mut connection)
}

/// Sends a request whose body takes `pieces` times `pause`, and returns its answer.
pub fn send_slowly(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    pieces: usize,
    pause: Duration,
    limit: Duration,
) -> io::Result<Message> {
    let piece = [b'u'; 1_024];
    let mut connection = connect(address, limit)?;
    connection.write_head(
        &format!("POST {path} HTTP/1.1"),
        headers,
        pieces * piece.len(),
    )?;
    for _ in 0..pieces {
        thread::sleep(pause);
        connection.stream.write_all(&piece)?;
    }
    read_answer(&mut connection)
}

/// Sends a request and closes the connection after `stay`, unless the answer is there before.
/// Returns whether it left without an answer.
pub fn leave_early(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    stay: Duration,
) -> io::Result<bool> {
    let mut connection = connect(address, stay)?;
    connection.write(&format!("GET {path} HTTP/1.1"), headers, b"")?;
    Ok(read_answer(&mut connection).is_err())
}
