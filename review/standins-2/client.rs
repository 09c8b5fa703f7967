//! Clients: each attempt on a new connection.

use {
    crate::http::{Connection, Message},
    std::{
        io,
        net::{SocketAddr, TcpStream},
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
