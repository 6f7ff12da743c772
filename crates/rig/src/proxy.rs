//! A TCP proxy that injects faults: it forwards each connection to its target, subject to the fault that is set.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A fault of the proxy, in force from the moment it is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault: bytes are forwarded as they come.
    Pass,
    /// Each chunk of bytes, and the end of the stream, is forwarded after this delay, in both directions.
    Delay(Duration),
    /// Open and new connections are closed.
    Reset,
    /// Connections are accepted and bytes read, but nothing is forwarded in either direction until the fault is lifted. This is a
    /// partition that TCP survives by retransmission: the held bytes are then forwarded, in order, unless the connection was
    /// reset meanwhile.
    Blackhole,
    /// Bytes are read and discarded. A connection that lost bytes is closed once the fault is lifted, like one on which TCP gave
    /// up retransmission.
    Drop,
    /// At most this many bytes per second are forwarded in each direction on each connection.
    Bandwidth(u64),
    /// Half of the first chunk of an answer is forwarded, then the connection is closed.
    Truncate,
}

#[derive(Debug)]
struct Shared {
    fault: Mutex<Fault>,
    /// Incremented by each [`Fault::Reset`]: connections of an earlier generation are closed.
    generation: AtomicUsize,
    connections: AtomicUsize,
    /// Bytes forwarded to the target.
    bytes_to_target: AtomicUsize,
}

/// A proxy in front of one target, on a port that the system assigns. Clones share their state.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address that clients of the target connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy on loopback that forwards each connection to `target`, without a fault at first.
    ///
    /// # Errors
    ///
    /// If no port can be bound on loopback.
    pub fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Arc::new(Shared {
            fault: Mutex::new(Fault::Pass),
            generation: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            bytes_to_target: AtomicUsize::new(0),
        });
        let proxy = Proxy { address: listener.local_addr()?, shared };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                accepting.forward(client, target);
            }
        });
        Ok(proxy)
    }

    /// Sets the fault in force from now on; a reset closes open connections at once.
    pub fn set_fault(&self, fault: Fault) {
        *self.shared.fault.lock().unwrap_or_else(|e| e.into_inner()) = fault;
        if fault == Fault::Reset {
            self.shared.generation.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Connections accepted since the start.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Bytes forwarded to the target since the start.
    pub fn forwarded(&self) -> usize {
        self.shared.bytes_to_target.load(Ordering::SeqCst)
    }

    fn fault(&self) -> Fault {
        *self.shared.fault.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Connects to the target and starts one thread for each direction.
    fn forward(&self, client: TcpStream, target: SocketAddr) {
        self.shared.connections.fetch_add(1, Ordering::SeqCst);
        let fault = self.fault();
        if fault == Fault::Reset {
            return drop(client.shutdown(Shutdown::Both));
        }
        let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else { return };
        let generation = self.shared.generation.load(Ordering::SeqCst);
        for (from, to, to_target) in [(&client, &server, true), (&server, &client, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(from, to, to_target, generation));
        }
    }

    /// Copies bytes in one direction until the connection ends or a fault closes it.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, to_target: bool, generation: usize) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
        let mut buffer = [0u8; 16 << 10];
        let mut discarded = false;
        loop {
            if self.shared.generation.load(Ordering::SeqCst) != generation
                || (discarded && self.fault() != Fault::Drop)
            {
                break;
            }
            let n = match from.read(&mut buffer) {
                Ok(0) => return self.forward_end(&to, generation),
                Ok(n) => n,
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    continue
                }
                Err(_) => break,
            };
            // After a reset the sender does not retransmit. One that has only shut down its write side still does.
            if self.wait_for_blackhole_end(generation) && was_reset(&from) {
                break;
            }
            match self.fault() {
                Fault::Pass | Fault::Blackhole => {}
                Fault::Delay(d) => thread::sleep(d),
                Fault::Drop => {
                    discarded = true;
                    continue;
                }
                Fault::Bandwidth(rate) => {
                    thread::sleep(Duration::from_secs_f64(n as f64 / rate.max(1) as f64))
                }
                Fault::Reset => break,
                Fault::Truncate if to_target => {}
                Fault::Truncate => {
                    let _ = to.write_all(&buffer[..n / 2]);
                    break;
                }
            }
            if to_target {
                self.shared.bytes_to_target.fetch_add(n, Ordering::SeqCst);
            }
            if to.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits while the fault is a black hole, unless a reset closes the connection; true if it was one.
    fn wait_for_blackhole_end(&self, generation: usize) -> bool {
        let mut held = false;
        while self.fault() == Fault::Blackhole && self.shared.generation.load(Ordering::SeqCst) == generation
        {
            held = true;
            thread::sleep(Duration::from_millis(5));
        }
        held
    }

    /// Forwards the end of the stream of one side, after all its bytes; the other side may go on sending.
    fn forward_end(&self, to: &TcpStream, generation: usize) {
        self.wait_for_blackhole_end(generation);
        match self.fault() {
            Fault::Delay(d) => thread::sleep(d),
            Fault::Drop => return,
            _ => {}
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Whether the remote side has reset the connection. After a reset the system no longer has its address; a read would not show
/// a reset that follows the end of the stream.
fn was_reset(tcp: &TcpStream) -> bool {
    tcp.peer_addr().is_err()
}

#[cfg(test)]
mod tests;
