//! A TCP fault proxy: each connection to it is joined to one to its target, and bytes pass as the fault in force says.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the proxy does to what passes, from the moment it is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Bytes pass as they come.
    Pass,
    /// Each piece of bytes, and the end of a sending, waits so long before it passes, either way.
    Delay(Duration),
    /// Connections are cut, the ones open and each new one.
    Reset,
    /// Connections are taken and bytes read, but nothing passes either way until the fault is lifted: a partition, which
    /// TCP outlives by sending again; what was held then passes late, in order, unless the connection was reset meanwhile.
    Blackhole,
    /// Bytes are read and thrown away; a connection that lost some is cut once the fault is lifted, as one that TCP gave
    /// up on.
    Drop,
    /// So many bytes a second at most pass each way on each connection.
    Bandwidth(u64),
    /// Half of each piece of an answer passes, and then the connection is cut.
    Truncate,
}

#[derive(Debug)]
struct Shared {
    fault: Mutex<Fault>,
    /// Bumped by each [`Fault::Reset`]: connections of an earlier round are cut.
    round: AtomicUsize,
    connections: AtomicUsize,
    /// Bytes that passed towards the target.
    forward: AtomicUsize,
}

/// A proxy on a port that the OS gave, in front of one target.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where clients of the target connect instead.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Listens on loopback and joins each connection to `target`; bytes pass until a fault is set.
    ///
    /// # Errors
    ///
    /// No port can be had on loopback.
    pub fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Arc::new(Shared {
            fault: Mutex::new(Fault::Pass),
            round: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            forward: AtomicUsize::new(0),
        });
        let proxy = Proxy { address: listener.local_addr()?, shared };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                accepting.join(client, target);
            }
        });
        Ok(proxy)
    }

    /// Sets what is done from now on; a reset cuts what is open at once.
    pub fn set(&self, fault: Fault) {
        *self.shared.fault.lock().unwrap_or_else(|e| e.into_inner()) = fault;
        if fault == Fault::Reset {
            self.shared.round.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Connections taken since the start.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Bytes passed towards the target since the start.
    pub fn forwarded(&self) -> usize {
        self.shared.forward.load(Ordering::SeqCst)
    }

    fn fault(&self) -> Fault {
        *self.shared.fault.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn join(&self, client: TcpStream, target: SocketAddr) {
        self.shared.connections.fetch_add(1, Ordering::SeqCst);
        let fault = self.fault();
        if fault == Fault::Reset {
            return drop(client.shutdown(Shutdown::Both));
        }
        let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else { return };
        let round = self.shared.round.load(Ordering::SeqCst);
        for (from, to, forward) in [(&client, &server, true), (&server, &client, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let proxy = self.clone();
            thread::spawn(move || proxy.pump(from, to, forward, round));
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, forward: bool, round: usize) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
        let mut buffer = [0u8; 16 << 10];
        let mut thrown = false;
        loop {
            if self.shared.round.load(Ordering::SeqCst) != round || (thrown && self.fault() != Fault::Drop) {
                break;
            }
            let n = match from.read(&mut buffer) {
                Ok(0) => return self.pass_end(&to, round),
                Ok(n) => n,
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    continue
                }
                Err(_) => break,
            };
            // A sender that has reset its connection sends nothing again. One that has only ended its sending still does.
            if self.hold(round) && was_reset(&from) {
                break;
            }
            match self.fault() {
                Fault::Pass | Fault::Blackhole => {}
                Fault::Delay(d) => thread::sleep(d),
                Fault::Drop => {
                    thrown = true;
                    continue;
                }
                Fault::Bandwidth(rate) => {
                    thread::sleep(Duration::from_secs_f64(n as f64 / rate.max(1) as f64))
                }
                Fault::Reset => break,
                Fault::Truncate if forward => {}
                Fault::Truncate => {
                    let _ = to.write_all(&buffer[..n / 2]);
                    break;
                }
            }
            if forward {
                self.shared.forward.fetch_add(n, Ordering::SeqCst);
            }
            if to.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits while the path is a black hole, unless a reset cuts it; true if it was one.
    fn hold(&self, round: usize) -> bool {
        let mut held = false;
        while self.fault() == Fault::Blackhole && self.shared.round.load(Ordering::SeqCst) == round {
            held = true;
            thread::sleep(Duration::from_millis(5));
        }
        held
    }

    /// One side has ended its sending: the other hears of it behind all bytes, and may go on with its own.
    fn pass_end(&self, to: &TcpStream, round: usize) {
        self.hold(round);
        match self.fault() {
            Fault::Delay(d) => thread::sleep(d),
            Fault::Drop => return,
            _ => {}
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Has the peer reset the connection? After a reset the system knows no peer any more; reading tells nothing of one behind
/// an end of sending.
fn was_reset(tcp: &TcpStream) -> bool {
    tcp.peer_addr().is_err()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{BufRead, BufReader};

    fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        thread::spawn(move || {
            for s in listener.incoming().map_while(Result::ok) {
                thread::spawn(move || {
                    let mut w = s.try_clone().unwrap();
                    for line in BufReader::new(s).lines().map_while(Result::ok) {
                        let _ = w.write_all(format!("{line}\n").as_bytes());
                    }
                });
            }
        });
        at
    }

    fn ask(at: SocketAddr) -> Option<String> {
        let mut s = TcpStream::connect(at).ok()?;
        s.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
        s.write_all(b"hello\n").ok()?;
        let mut line = String::new();
        BufReader::new(s).read_line(&mut line).ok().filter(|n| *n > 0)?;
        Some(line)
    }

    /// Guards against a proxy that passes what it should swallow, or swallows what it should pass.
    #[test]
    fn bytes_pass_and_stop_as_the_fault_says() {
        let proxy = Proxy::start(echo()).unwrap();
        assert_eq!(ask(proxy.address).as_deref(), Some("hello\n"));
        proxy.set(Fault::Blackhole);
        let mut held = TcpStream::connect(proxy.address).unwrap();
        held.write_all(b"later\n").unwrap();
        assert_eq!(ask(proxy.address), None, "silence");
        proxy.set(Fault::Pass);
        let mut line = String::new();
        BufReader::new(held).read_line(&mut line).unwrap();
        assert_eq!(line, "later\n", "held, then passed");
        proxy.set(Fault::Bandwidth(60));
        let start = std::time::Instant::now();
        assert_eq!(ask(proxy.address).as_deref(), Some("hello\n"));
        assert!(start.elapsed() >= Duration::from_millis(200), "six bytes at sixty a second, there and back");
        proxy.set(Fault::Drop);
        assert_eq!(ask(proxy.address), None, "thrown away");
        proxy.set(Fault::Reset);
        assert_eq!(ask(proxy.address), None, "cut");
        proxy.set(Fault::Pass);
        assert_eq!(ask(proxy.address).as_deref(), Some("hello\n"));
        assert_eq!(proxy.connections(), 7);
        // The silent asker's greeting passes too if its connection was still open when the hole closed.
        assert!(
            [24, 30].contains(&proxy.forwarded()),
            "three greetings and what was held: {}",
            proxy.forwarded()
        );
    }
}
