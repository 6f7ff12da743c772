//! A TCP connection with what has been read and what is still to be written.

use super::reactor::{is_shortage, Reactor};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

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
    reactor: Rc<Reactor>,
    /// Its events come under this.
    token: Token,
    /// The poll knows of it.
    registered: bool,
    /// Read and not used yet.
    pub read_buf: Vec<u8>,
    write_buf: Vec<u8>,
    written: usize,
    connected: bool,
}

impl Stream {
    /// Wraps a connection that was accepted.
    pub fn accepted(tcp: TcpStream, reactor: &Rc<Reactor>, token: Token) -> io::Result<Stream> {
        Stream::new(tcp, reactor, token, true)
    }

    /// Begins to connect.
    pub fn connect(address: SocketAddr, reactor: &Rc<Reactor>, token: Token) -> io::Result<Stream> {
        Stream::new(TcpStream::connect(address)?, reactor, token, false)
    }

    fn new(tcp: TcpStream, reactor: &Rc<Reactor>, token: Token, connected: bool) -> io::Result<Stream> {
        let _ = tcp.set_nodelay(true);
        let (reactor, read_buf, write_buf) = (Rc::clone(reactor), Vec::new(), Vec::new());
        let mut stream =
            Stream { tcp, reactor, token, registered: false, read_buf, write_buf, written: 0, connected };
        stream.register()?;
        Ok(stream)
    }

    /// Registers with the poll. While that has no memory for it, the connection is looked at again and again.
    fn register(&mut self) -> io::Result<()> {
        if self.registered {
            return Ok(());
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        let done = self.reactor.register(&mut self.tcp, self.token, interest);
        self.registered = done.is_ok();
        self.unless_shortage(done, ())
    }

    /// The result, or this value where the system lacked memory for the call: the connection is then looked at again soon.
    fn unless_shortage<T>(&self, result: io::Result<T>, meanwhile: T) -> io::Result<T> {
        match result {
            Err(e) if is_shortage(&e) => {
                self.reactor.retry(self.token);
                Ok(meanwhile)
            }
            result => result,
        }
    }

    /// Has the connection come up? An error says that it never will.
    pub fn is_up(&mut self) -> io::Result<bool> {
        self.register()?;
        if !self.connected {
            if let Some(e) = self.unless_shortage(self.tcp.take_error(), None)? {
                return Err(e);
            }
            let up = match self.tcp.peer_addr() {
                Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
                peer => peer.map(|_| true),
            };
            self.connected = self.unless_shortage(up, false)?;
            if self.connected {
                let _ = self.tcp.set_nodelay(true);
            }
        }
        Ok(self.connected)
    }

    /// Puts bytes behind those that are still to be written.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.write_buf.extend_from_slice(bytes);
    }

    /// Bytes still to be written.
    pub fn unwritten(&self) -> usize {
        self.write_buf.len() - self.written
    }

    /// Writes what the socket takes; true once nothing is left.
    pub fn flush(&mut self) -> io::Result<bool> {
        self.register()?;
        while self.written < self.write_buf.len() {
            match self.tcp.write(&self.write_buf[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return self.unless_shortage(Err(e), false),
            }
        }
        self.write_buf.clear();
        self.written = 0;
        Ok(true)
    }

    /// Reads until the socket has no more or the inbox holds so many bytes.
    pub fn fill(&mut self, most: usize) -> Fill {
        if self.register().is_err() {
            return Fill::Ended;
        }
        let mut part = [0; 16 * 1024];
        while self.read_buf.len() < most {
            match self.tcp.read(&mut part) {
                Ok(0) => return Fill::Ended,
                Ok(n) => self.read_buf.extend_from_slice(&part[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Fill::Blocked,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    return self.unless_shortage(Err(e), Fill::Blocked).unwrap_or(Fill::Ended);
                }
            }
        }
        Fill::Full
    }

    /// Has the connection reset once it is closed: what the system still holds of it is thrown away and never arrives.
    pub fn reset_on_close(&self) {
        let _ = SockRef::from(&self.tcp).set_linger(Some(Duration::ZERO));
    }

    /// Ends this side's sending; what was written still arrives.
    pub fn finish(&self) {
        let _ = self.tcp.shutdown(Shutdown::Write);
    }
}
