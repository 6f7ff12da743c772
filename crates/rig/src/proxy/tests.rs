//! Tests of the module `proxy`.

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

fn send_hello(at: SocketAddr) -> Option<String> {
    let mut s = TcpStream::connect(at).ok()?;
    s.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
    s.write_all(b"hello\n").ok()?;
    let mut line = String::new();
    BufReader::new(s).read_line(&mut line).ok().filter(|n| *n > 0)?;
    Some(line)
}

/// Guards against a proxy that forwards bytes that a fault should stop, or stops bytes that it should forward.
#[test]
fn bytes_are_forwarded_or_stopped_as_the_fault_says() {
    let proxy = Proxy::start(echo()).unwrap();
    assert_eq!(send_hello(proxy.address).as_deref(), Some("hello\n"));
    proxy.set_fault(Fault::Blackhole);
    let mut held = TcpStream::connect(proxy.address).unwrap();
    held.write_all(b"later\n").unwrap();
    assert_eq!(send_hello(proxy.address), None, "no answer");
    proxy.set_fault(Fault::Pass);
    let mut line = String::new();
    BufReader::new(held).read_line(&mut line).unwrap();
    assert_eq!(line, "later\n", "held, then forwarded");
    proxy.set_fault(Fault::Bandwidth(60));
    let start = std::time::Instant::now();
    assert_eq!(send_hello(proxy.address).as_deref(), Some("hello\n"));
    assert!(start.elapsed() >= Duration::from_millis(200), "six bytes at sixty per second in each direction");
    proxy.set_fault(Fault::Drop);
    assert_eq!(send_hello(proxy.address), None, "discarded");
    proxy.set_fault(Fault::Reset);
    assert_eq!(send_hello(proxy.address), None, "closed");
    proxy.set_fault(Fault::Pass);
    assert_eq!(send_hello(proxy.address).as_deref(), Some("hello\n"));
    assert_eq!(proxy.connections(), 7);
    // The greeting that got no answer is forwarded too if its connection was still open when the black hole ended.
    assert!(
        [24, 30].contains(&proxy.forwarded()),
        "three greetings and the held bytes: {}",
        proxy.forwarded()
    );
}
