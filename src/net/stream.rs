//! A TCP connection with its read and write buffers.

use super::reactor::{is_shortage, Reactor};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Length of the listen backlog. The usual 128 overflow when hundreds of clients connect at once, and a
/// client that finds the backlog full retries after a second, too late for its request.
const BACKLOG: i32 = 1024;

/// Opens a listener on an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Lets a restart bind its address although connections of the previous process are still closing.
    socket.set_reuse_address(true)?;
    // During an upgrade a sibling process listens on the same address.
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fill {
    /// No more data for now.
    Blocked,
    /// The read buffer is full; there may be more data.
    Full,
    /// The other side closed its sending direction, or the connection broke.
    Ended,
}

/// A connection and its two buffers.
#[derive(Debug)]
pub struct Stream {
    tcp: TcpStream,
    reactor: Rc<Reactor>,
    /// Token of the connection's events.
    token: Token,
    /// Whether the connection is registered with the poll.
    registered: bool,
    /// Data that was read and is not processed yet.
    pub read_buf: Vec<u8>,
    write_buf: Vec<u8>,
    /// Number of bytes of the write buffer that are written.
    written: usize,
    connected: bool,
}

impl Stream {
    /// Wraps an accepted connection.
    pub fn accepted(tcp: TcpStream, reactor: &Rc<Reactor>, token: Token) -> io::Result<Stream> {
        Stream::new(tcp, reactor, token, true)
    }

    /// Starts to connect.
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

    /// Registers with the poll. While the poll lacks memory for it, the connection is serviced again and
    /// again.
    fn register(&mut self) -> io::Result<()> {
        if self.registered {
            return Ok(());
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        let done = self.reactor.register(&mut self.tcp, self.token, interest);
        self.registered = done.is_ok();
        self.unless_shortage(done, ())
    }

    /// Returns the result, or `meanwhile` if the system lacked memory for the operation; the connection is
    /// then serviced again soon.
    fn unless_shortage<T>(&self, result: io::Result<T>, meanwhile: T) -> io::Result<T> {
        match result {
            Err(e) if is_shortage(&e) => {
                self.reactor.retry(self.token);
                Ok(meanwhile)
            }
            result => result,
        }
    }

    /// Whether the connection is established. An error means that it never will be.
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

    /// Appends bytes to the write buffer.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.write_buf.extend_from_slice(bytes);
    }

    /// Number of bytes still to be written.
    pub fn unwritten(&self) -> usize {
        self.write_buf.len() - self.written
    }

    /// Writes as much as the socket takes; true once nothing is left.
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

    /// Reads until the socket has no more data or the read buffer holds `max` bytes.
    pub fn fill(&mut self, max: usize) -> Fill {
        if self.register().is_err() {
            return Fill::Ended;
        }
        let mut chunk = [0; 16 * 1024];
        while self.read_buf.len() < max {
            match self.tcp.read(&mut chunk) {
                Ok(0) => return Fill::Ended,
                Ok(n) => self.read_buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Fill::Blocked,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    return self.unless_shortage(Err(e), Fill::Blocked).unwrap_or(Fill::Ended);
                }
            }
        }
        Fill::Full
    }

    /// Makes closing reset the connection: data that the system still holds for it is discarded.
    pub fn reset_on_close(&self) {
        let _ = SockRef::from(&self.tcp).set_linger(Some(Duration::ZERO));
    }

    /// Closes this side's sending direction; data already written still arrives.
    pub fn finish(&self) {
        let _ = self.tcp.shutdown(Shutdown::Write);
    }
}
