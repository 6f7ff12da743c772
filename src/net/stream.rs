//! A TCP connection with its read and write buffers.

use super::departure::PeerSending;
use super::reactor::{is_shortage, Reactor};
use crate::memory::{Holder, MemoryLedger, MemoryPlan, SocketBuffers};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Bytes read from the system in one call.
const READ_CHUNK: usize = 16 * 1024;
/// Bytes of capacity that an empty buffer keeps.
const SPARE_CAPACITY: usize = 4 * 1024;

/// Capacity in bytes of a large buffer. The C library's allocator maps such a block for itself and gives it back to the
/// system when it is freed; only the pages in use take memory. Smaller blocks would stay with the process.
const LARGE_CAPACITY: usize = 160 * 1024;

/// Makes room for `more` bytes in a buffer.
fn reserve(buffer: &mut Vec<u8>, more: usize) {
    let needed = buffer.len() + more;
    if needed > buffer.capacity() && needed > READ_CHUNK {
        buffer.reserve_exact(needed.max(LARGE_CAPACITY) - buffer.len());
    }
}

/// Bytes of memory that a buffer takes.
fn buffer_bytes(buffer: &Vec<u8>) -> usize {
    match buffer.capacity() >= LARGE_CAPACITY {
        true => buffer.len() + SPARE_CAPACITY,
        false => buffer.capacity(),
    }
}

/// Sets the sizes of the kernel's buffers. Best effort: a system without this option has sizes of its own.
fn set_buffer_sizes(socket: &Socket, sizes: SocketBuffers) {
    let _ = socket.set_recv_buffer_size(sizes.receive);
    let _ = socket.set_send_buffer_size(sizes.send);
}

/// Opens a listener on an address; the connections that it accepts have its buffer sizes.
pub fn listen(address: SocketAddr, plan: &MemoryPlan) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Lets a restart bind its address although connections of the previous process are still closing.
    socket.set_reuse_address(true)?;
    // During an upgrade a sibling process listens on the same address.
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    set_buffer_sizes(&socket, plan.inbound);
    socket.listen(i32::try_from(plan.backlog).unwrap_or(i32::MAX))?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Starts to connect with these sizes of the kernel's buffers; they have to be set before.
fn connect_with(address: SocketAddr, sizes: SocketBuffers) -> io::Result<TcpStream> {
    /// EINPROGRESS on Linux: the connection is being established.
    const EINPROGRESS: i32 = 115;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    set_buffer_sizes(&socket, sizes);
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
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
    /// Bytes of both buffers that the memory ledger knows of.
    counted: usize,
}

impl Stream {
    /// Wraps an accepted connection.
    pub fn accepted(tcp: TcpStream, reactor: &Rc<Reactor>, token: Token) -> io::Result<Stream> {
        Stream::new(tcp, reactor, token, true)
    }

    /// Starts to connect.
    pub fn connect(address: SocketAddr, reactor: &Rc<Reactor>, token: Token) -> io::Result<Stream> {
        let sizes = reactor.memory.plan().outbound;
        Stream::new(connect_with(address, sizes)?, reactor, token, false)
    }

    fn new(tcp: TcpStream, reactor: &Rc<Reactor>, token: Token, connected: bool) -> io::Result<Stream> {
        let _ = tcp.set_nodelay(true);
        let (reactor, read_buf, write_buf) = (Rc::clone(reactor), Vec::new(), Vec::new());
        reactor.memory.add_connection();
        let mut stream = Stream {
            tcp,
            reactor,
            token,
            registered: false,
            read_buf,
            write_buf,
            written: 0,
            connected,
            counted: 0,
        };
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
        reserve(&mut self.write_buf, bytes.len());
        self.write_buf.extend_from_slice(bytes);
        self.count_buffers();
    }

    /// Whether the buffers may grow by `more` bytes.
    pub fn may_grow(&self, more: usize) -> bool {
        self.reactor.memory.has_room(Holder::Buffers, more)
    }

    /// Has the connection served again soon, with or without an event.
    pub fn serve_again(&self) {
        self.reactor.retry(self.token);
    }

    /// What all connections hold.
    pub fn memory(&self) -> &MemoryLedger {
        &self.reactor.memory
    }

    /// Counts something that is refused because the buffers may not grow.
    pub fn count_refused(&self) {
        self.reactor.memory.count_refused(Holder::Buffers);
    }

    /// Drops what was read and not processed.
    pub fn discard_input(&mut self) {
        self.read_buf.clear();
        self.release_spare();
    }

    /// Tells the memory ledger the size of the buffers.
    fn count_buffers(&mut self) {
        let bytes = buffer_bytes(&self.read_buf) + buffer_bytes(&self.write_buf);
        if bytes != self.counted {
            self.reactor.memory.change(Holder::Buffers, self.counted, bytes);
            self.counted = bytes;
        }
    }

    /// Releases capacity that is not used.
    fn release_spare(&mut self) {
        for buffer in [&mut self.read_buf, &mut self.write_buf] {
            if buffer.is_empty() && buffer.capacity() > SPARE_CAPACITY {
                *buffer = Vec::new();
            } else if buffer.len() <= SPARE_CAPACITY && buffer.capacity() > READ_CHUNK {
                buffer.shrink_to(SPARE_CAPACITY);
            }
        }
        self.count_buffers();
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
        self.release_spare();
        Ok(true)
    }

    /// Reads until the socket has no more data or the read buffer holds `max` bytes.
    pub fn fill(&mut self, max: usize) -> Fill {
        if self.register().is_err() {
            return Fill::Ended;
        }
        let filled = self.read_up_to(max);
        self.release_spare();
        filled
    }

    fn read_up_to(&mut self, max: usize) -> Fill {
        let mut chunk = [0; READ_CHUNK];
        while self.read_buf.len() < max {
            let wanted = (max - self.read_buf.len()).min(READ_CHUNK);
            match self.tcp.read(&mut chunk[..wanted]) {
                Ok(0) => return Fill::Ended,
                Ok(n) => {
                    reserve(&mut self.read_buf, n);
                    self.read_buf.extend_from_slice(&chunk[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Fill::Blocked,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    return self.unless_shortage(Err(e), Fill::Blocked).unwrap_or(Fill::Ended);
                }
            }
        }
        Fill::Full
    }

    /// Appends input that has arrived and was not read, without taking it.
    pub fn peek_into(&self, bytes: &mut Vec<u8>) {
        let mut unread = vec![0; self.reactor.memory.plan().inbound.kernel_bytes()];
        if let Ok(n) = self.tcp.peek(&mut unread) {
            bytes.extend_from_slice(&unread[..n]);
        }
    }

    /// What the other side has done to its sending direction, also behind input that was not read yet.
    pub fn peer_sending(&self) -> PeerSending {
        const NOW: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut polled = [PollFd::new(&self.tcp, PollFlags::RDHUP)];
        let found = poll(&mut polled, Some(&NOW)).map_or(PollFlags::empty(), |_| polled[0].revents());
        if found.intersects(PollFlags::ERR | PollFlags::HUP) {
            PeerSending::Broken
        } else if found.contains(PollFlags::RDHUP) {
            PeerSending::Ended
        } else {
            PeerSending::Open
        }
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

impl Drop for Stream {
    fn drop(&mut self) {
        self.reactor.memory.change(Holder::Buffers, self.counted, 0);
        self.reactor.memory.remove_connection();
    }
}
