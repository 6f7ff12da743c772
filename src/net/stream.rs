//! A TCP connection with what has been read and what is still to be written.

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// Clients that the system keeps until they are accepted. The usual 128 overflow when hundreds connect at once, and who
/// finds no place tries again after a second, too late for its request.
const BACKLOG: i32 = 1024;

/// Listens on an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // A restart finds its address free although connections of its predecessor are still closing.
    socket.set_reuse_address(true)?;
    // During an upgrade a second process serves on the same address beside this one.
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// What a read came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fill {
    /// Nothing more for now.
    Blocked,
    /// The inbox is full; there may be more.
    Full,
    /// The other side ends its sending, or the connection broke.
    Ended,
}

/// A connection and its two buffers.
#[derive(Debug)]
pub struct Stream {
    tcp: TcpStream,
    /// Read and not used yet.
    pub inbox: Vec<u8>,
    outbox: Vec<u8>,
    written: usize,
    connected: bool,
}

impl Stream {
    /// Wraps a connection that was accepted.
    pub fn accepted(mut tcp: TcpStream, registry: &Registry, token: Token) -> io::Result<Stream> {
        registry.register(&mut tcp, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = tcp.set_nodelay(true);
        Ok(Stream { tcp, inbox: Vec::new(), outbox: Vec::new(), written: 0, connected: true })
    }

    /// Begins to connect.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Stream> {
        let stream = Stream::accepted(TcpStream::connect(address)?, registry, token)?;
        Ok(Stream { connected: false, ..stream })
    }

    /// Has the connection come up? An error says that it never will.
    pub fn is_up(&mut self) -> io::Result<bool> {
        if !self.connected {
            if let Some(e) = self.tcp.take_error()? {
                return Err(e);
            }
            match self.tcp.peer_addr() {
                Ok(_) => {
                    self.connected = true;
                    let _ = self.tcp.set_nodelay(true);
                }
                Err(e) if e.kind() == ErrorKind::NotConnected => {}
                Err(e) => return Err(e),
            }
        }
        Ok(self.connected)
    }

    /// Puts bytes behind those that are still to be written.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.outbox.extend_from_slice(bytes);
    }

    /// Bytes still to be written.
    pub fn unwritten(&self) -> usize {
        self.outbox.len() - self.written
    }

    /// Writes what the socket takes; true once nothing is left.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.written < self.outbox.len() {
            match self.tcp.write(&self.outbox[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.outbox.clear();
        self.written = 0;
        Ok(true)
    }

    /// Reads until the socket has no more or the inbox holds so many bytes.
    pub fn fill(&mut self, most: usize) -> Fill {
        let mut part = [0; 16 * 1024];
        while self.inbox.len() < most {
            match self.tcp.read(&mut part) {
                Ok(0) => return Fill::Ended,
                Ok(n) => self.inbox.extend_from_slice(&part[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Fill::Blocked,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Fill::Ended,
            }
        }
        Fill::Full
    }

    /// Ends this side's sending; what was written still arrives.
    pub fn finish(&self) {
        let _ = self.tcp.shutdown(Shutdown::Write);
    }
}
