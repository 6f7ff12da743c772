//! A planned restart of a dispatcher whose clients hear of a message once another dispatcher has a copy.

#[path = "../stand-2/lib.rs"]
mod lib;
use lib::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Settings in the form of the deployment page, like those of a small deployment.
fn settings(zone: &str, rank: usize) -> String {
    format!(
        r#"{{"balancers":3,"rank":{rank},"round":5.0,"family":"deliver","counted_by":"request","discovery":"pushed",
"classes":[
{{"name":"claim-status","effect":"idempotent","group":"all","promise":1000.0,"deadline":8000.0,"window":5000.0,"late_worth":0.0,"worth":2.0,"stream":false}},
{{"name":"approval-order","effect":"deduplicated","group":"zone","promise":4000.0,"deadline":20000.0,"window":20000.0,"in_order":true,"late_worth":0.5,"worth":1.0,"stream":false}},
{{"name":"reimbursement","effect":"at_most_once","group":"all","promise":3000.0,"deadline":20000.0,"window":5000.0,"late_worth":0.5,"worth":4.0,"stream":false}}],
"ceilings":{{"cancel":true,"connect_timeout":1000.0,"keepalive":10000.0,"max_open":200,"max_retry_after":2000.0,"most_tries":8,"peers":false,"probes":true,"retry_after":true,"second_copies":false,"streams_per_conn":1}},
"guarantees":{{"answer_slack":20.0,"ask_within":10000.0,"cold":13000.0,"cold_from":0.22,"drain_grace":2000.0,"key_quiet":100.0,"overload_factor":2.0,"overload_for":2000.0}},
"family_info":{{"batch_by_kind":[1],"decay":"line","kind_apart":[false],"slots":12}},
"kinds":["low-volume"],"zones":["building-a","building-b"],"zone":"{zone}",
"tenants":[{{"name":"sotrans-dakar","quota_per_s":100.0,"share":1.0}}],"telemetry":{{"fields":[],"via":"none"}},"weights":"none","over_share_worth":0.2}}"#
    )
}

fn main() {
    main_of(run)
}

/// A request of a client and its answer.
struct Asked {
    id: String,
    sent: u64,
    answer: Option<String>,
}

/// Requests that a client has sent and that are not answered yet, at most.
const AT_ONCE: usize = 3;

/// A client that keeps some commands on its connection for as long as that stays open, and ends it itself if an
/// answer does not come within 400 ms. Returns its requests, and whether the dispatcher ended the connection.
fn client(number: usize, at: SocketAddr, stop_at: u64, record: &Record) -> (Vec<Asked>, bool) {
    let Ok(stream) = TcpStream::connect(at) else { return (Vec::new(), false) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
    let mut stream = BufReader::new(stream);
    let (mut requests, mut answered) = (Vec::<Asked>::new(), 0);
    loop {
        while requests.len() - answered < AT_ONCE && record.now() < stop_at {
            let id = format!("status-{number}-{}", requests.len());
            let options = "c=claim-status,t=sotrans-dakar,d=8000,dest=7";
            let words = ["SUBMIT", "0000000000000000", &id, options, "status"];
            let mut bytes = format!("*{}\r\n", words.len());
            words.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
            if stream.get_mut().write_all(bytes.as_bytes()).is_err() {
                return (requests, true);
            }
            let sent = record.add(format!("client {number}: SUBMIT {id} to n1"));
            requests.push(Asked { id, sent, answer: None });
        }
        if answered == requests.len() {
            return (requests, false);
        }
        let (mut line, begun) = (String::new(), Instant::now());
        match stream.read_line(&mut line) {
            Ok(n) if n > 0 => {
                record.add(format!("n1: {} is answered {:?}", requests[answered].id, line.trim_end()));
                requests[answered].answer = Some(line.trim_end().to_string());
                answered += 1;
            }
            Err(e) if begun.elapsed() >= Duration::from_millis(390) => {
                record.add(format!("client {number}: no answer within 400 ms ({e}); it ends the connection"));
                return (requests, false);
            }
            _ => {
                record.add(format!("client {number}: the dispatcher has ended the connection"));
                return (requests, true);
            }
        }
    }
}

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let at = endpoints.start("s1", |_| 100);
    let free = addresses(6);
    let (resp, peer) = (&free[..3], &free[3..]);
    // n1 stands in building-a, n2 and n3 in building-b, 40 ms away.
    let to: Vec<Route> = peer.iter().map(|at| Route::start_with_delay(*at, 40)).collect();
    let list = format!(
        r#"{{"rev":41,"all":true,"targets":[{{"uid":"s1","endpoint":"{at}","az":"building-a","model":"low-volume","pod_group":7,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}]}}"#
    );
    let mut running = Vec::new();
    for n in 0..3 {
        let name = format!("n{}", n + 1);
        let platform = Platform::start(&record, &format!("platform at {name}"), &list);
        let zone = if n == 0 { "building-a" } else { "building-b" };
        let config = folder.write(
            &format!("{name}.json"),
            &format!(
                r#"{{"name":"{name}","listen":"{}","discovery":"{}","state":"{}","seed":"8c1f30d27a5be96{n}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":512,"disk_mb":3}},"known":{list},"settings":{}}}"#,
                resp[n],
                platform.address,
                folder.path(&format!("state-{name}")),
                settings(zone, n)
            ),
        );
        std::fs::create_dir_all(folder.path(&format!("state-{name}"))).unwrap();
        let mut together = format!(
            "[replication]\nenabled = true\ninstallation = \"dakar\"\nlisten = \"{}\"\ncopies = 2\nack = true\n",
            peer[n]
        );
        for m in (0..3).filter(|m| *m != n) {
            let at = if n == 0 || m == 0 { to[m].address } else { peer[m] };
            together += &format!("[[replication.peers]]\nname = \"n{}\"\naddress = \"{at}\"\n", m + 1);
        }
        let together = folder.write(&format!("{name}.toml"), &together);
        let variables = [("ROUTER_CONFIG", config.as_str()), ("LILACBANK_TOGETHER", together.as_str())];
        running.push(Process::start(&folder, &name, &variables));
    }
    resp.iter().for_each(|at| wait_for_ping(*at, 15_000));
    sleep_ms(1_500);

    let begun = record.now();
    // SIGKILL of the planned restart would come 3.7 s after SIGTERM, which comes after 0.5 s.
    let stop_at = begun + 500 + 3_700;
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let (record, at) = (record.clone(), resp[0]);
            std::thread::spawn(move || client(n, at, stop_at, &record))
        })
        .collect();
    sleep_ms(500);
    if trouble() {
        record.add("SIGTERM to n1");
        running[0].signal(SIGTERM);
        let ended = running[0].wait_for_end(3_700);
        record.add(format!("n1 has ended by itself: {ended}, {:?}", running[0].ended()));
        running[0].kill();
        // The planned restart: SIGKILL 3.7 s after SIGTERM, and the next start 0.6 s later.
        sleep_ms((stop_at + 600).saturating_sub(record.now()));
        record.add("n1 is started again, on its folder");
        let (config, together) = (folder.path("n1.json"), folder.path("n1.toml"));
        let variables = [("ROUTER_CONFIG", config.as_str()), ("LILACBANK_TOGETHER", together.as_str())];
        running[0] = Process::start(&folder, "n1-again", &variables);
        wait_for_ping(resp[0], 10_000);
        record.add("n1 answers PING");
        sleep_ms(2_000);
    }
    let mut broken = Vec::new();
    let (mut taken, mut silent) = (0, 0);
    for (n, c) in clients.into_iter().enumerate() {
        let Ok((requests, by_dispatcher)) = c.join() else { cannot_run("a client has failed") };
        taken += requests.iter().filter(|r| r.answer.as_deref() == Some("+OK")).count();
        for r in requests.iter().filter(|r| r.answer.is_none()) {
            let calls = endpoints.of(&r.id);
            silent += 1;
            record.add(format!("client {n}: {} of {} ms has no answer; its calls: {}", r.id, r.sent, calls.len()));
            // It was read and taken on: n1 has sent it, before its end or after its next start.
            if by_dispatcher && !calls.is_empty() {
                let at = calls[0].begun;
                broken.push(format!("{} was read and taken on (n1 calls it at {at} ms), and its connection was ended with no answer", r.id));
            }
        }
    }
    record.add(format!("{taken} requests were answered +OK, {silent} not at all"));
    if taken == 0 {
        cannot_run("nothing is taken on");
    }
    drop(running);
    record.finish(&broken)
}
