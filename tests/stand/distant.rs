//! An endpoint at the end of a path that takes time. It refuses some calls at once, and behind some answers it writes a
//! second copy a while later if no other call has reached it on that connection by then.

use super::{read_request, Request};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A copy that the machine's load would delay by more than this is not written: it would come later than the play says.
const COPY_TOLERANCE: Duration = Duration::from_millis(5);

/// How the path and the endpoint behave.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// How long bytes take in each direction.
    pub one_way: Duration,
    /// How long a call runs.
    pub service: Duration,
    /// How long after an answer its second copy is written; `None` for none.
    pub copy_after: Option<Duration>,
    /// Each of so many calls is refused.
    pub refuse_each: usize,
}

/// What the endpoints of a play saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Ids of the calls that ran, in the order in which they began.
    pub ran: Vec<String>,
    /// Ids of all calls in the order in which they began, each with whether it ran.
    pub calls: Vec<(String, bool)>,
    /// Number of calls that were refused.
    pub refused: usize,
    /// Ids of calls that began while an earlier call with the same id was out.
    pub overlapping: Vec<String>,
    /// Ids of calls that came after a call with the same id had run, whether or not they were refused.
    pub sent_again: Vec<String>,
    /// Number of second copies written.
    pub copies: usize,
    /// Number of those written while the next request was on its way.
    pub crossed: usize,
    /// Number of connections accepted.
    pub connections: usize,
    /// Number of calls that are out, by id.
    out: HashMap<String, usize>,
}

impl Seen {
    /// Begins a call; whether it runs.
    fn begin(&mut self, id: &str, refuse_each: usize) -> bool {
        let out = self.out.entry(id.to_string()).or_default();
        *out += 1;
        if *out > 1 {
            self.overlapping.push(id.to_string());
        }
        if self.ran.iter().any(|ran| ran == id) {
            self.sent_again.push(id.to_string());
        }
        let runs = !(self.calls.len() + 1).is_multiple_of(refuse_each);
        self.calls.push((id.to_string(), runs));
        match runs {
            true => self.ran.push(id.to_string()),
            false => self.refused += 1,
        }
        runs
    }

    fn end(&mut self, id: &str) {
        *self.out.entry(id.to_string()).or_default() -= 1;
    }
}

/// Starts an endpoint; it adds to `seen`, which several endpoints may share.
pub fn start(behaviour: Behaviour, seen: &Arc<Mutex<Seen>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let seen = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            seen.lock().unwrap().connections += 1;
            let _ = stream.set_nodelay(true);
            serve(stream, behaviour, seen.clone());
        }
    });
    address
}

/// A request on the path to the endpoint.
struct Underway {
    request: Request,
    arrives_at: Instant,
}

/// An answer, or a copy of one, on the path to the dispatcher.
struct Outbound {
    bytes: Vec<u8>,
    due_at: Instant,
    is_copy: bool,
}

fn serve(stream: TcpStream, behaviour: Behaviour, seen: Arc<Mutex<Seen>>) {
    let (to_endpoint, requests) = channel();
    let (to_dispatcher, answers) = channel();
    let reader = BufReader::new(stream.try_clone().unwrap());
    thread::spawn(move || carry_requests(reader, behaviour.one_way, &to_endpoint));
    let seen_by_path = seen.clone();
    thread::spawn(move || carry_answers(stream, &answers, &seen_by_path));
    thread::spawn(move || answer_calls(&requests, &to_dispatcher, behaviour, &seen));
}

fn carry_requests(mut reader: BufReader<TcpStream>, one_way: Duration, to_endpoint: &Sender<Underway>) {
    while let Some(request) = read_request(&mut reader) {
        let arrives_at = Instant::now() + one_way;
        if to_endpoint.send(Underway { request, arrives_at }).is_err() {
            return;
        }
    }
}

fn carry_answers(mut stream: TcpStream, answers: &Receiver<Outbound>, seen: &Mutex<Seen>) {
    for Outbound { bytes, due_at, is_copy } in answers {
        sleep_until(due_at);
        if is_copy && due_at.elapsed() > COPY_TOLERANCE {
            continue;
        }
        seen.lock().unwrap().copies += usize::from(is_copy);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn answer_calls(
    requests: &Receiver<Underway>,
    to_dispatcher: &Sender<Outbound>,
    behaviour: Behaviour,
    seen: &Mutex<Seen>,
) {
    let mut next = None;
    while let Some(Underway { request, arrives_at }) = next.take().or_else(|| requests.recv().ok()) {
        sleep_until(arrives_at);
        let id = request.header("x-txn").to_string();
        let runs = seen.lock().unwrap().begin(&id, behaviour.refuse_each);
        if runs {
            thread::sleep(behaviour.service);
        }
        seen.lock().unwrap().end(&id);
        let status = if runs { "200 OK" } else { "503 Service Unavailable" };
        let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok").into_bytes();
        let left_at = Instant::now();
        let send = |bytes: Vec<u8>, left_at: Instant, is_copy: bool| {
            to_dispatcher.send(Outbound { bytes, due_at: left_at + behaviour.one_way, is_copy })
        };
        if send(bytes.clone(), left_at, false).is_err() {
            return;
        }
        let Some(copy_after) = behaviour.copy_after.filter(|_| runs) else { continue };
        let copy_at = left_at + copy_after;
        match requests.recv_timeout(copy_at.saturating_duration_since(Instant::now())) {
            // Something waits on the connection.
            Ok(underway) if underway.arrives_at <= copy_at => next = Some(underway),
            Ok(underway) => {
                sleep_until(copy_at);
                seen.lock().unwrap().crossed += 1;
                let _ = send(bytes, copy_at, true);
                next = Some(underway);
            }
            Err(RecvTimeoutError::Timeout) => drop(send(bytes, copy_at, true)),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}
