//! The paths from a host to leaves: proxies that can stop to accept connections, while those that
//! are open go on.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
};

/// The path from one host to one leaf.
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    /// Opens a path at `ip` to `leaf`.
    pub fn open(ip: &str, leaf: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let path = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
        };
        let is_cut = Arc::clone(&path.is_cut);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    return;
                }
                thread::spawn(move || carry(&stream, leaf));
            }
        });
        Ok(path)
    }

    /// Refuses new connections from now on.
    pub fn refuse_new(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Wakes the listener, which closes.
        let _ = TcpStream::connect(self.address);
    }
}

/// Carries bytes until either side closes its connection.
fn carry(host: &TcpStream, leaf: SocketAddr) {
    let Ok(leaf) = TcpStream::connect(leaf) else {
        return;
    };
    for stream in [host, &leaf] {
        let _ = stream.set_nodelay(true);
    }
    thread::scope(|scope| {
        scope.spawn(|| copy(host, &leaf));
        scope.spawn(|| copy(&leaf, host));
    });
}

fn copy(mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(count) if count > 0 && to.write_all(&buffer[..count]).is_ok() => {}
            _ => break,
        }
    }
    for stream in [from, to] {
        let _ = stream.shutdown(Shutdown::Both);
    }
}
