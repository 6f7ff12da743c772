//! An upgrade of a dispatcher whose tenant was moved to another one, with a reimbursement call in flight.

#[path = "../stand-2/lib.rs"]
mod lib;
use lib::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

fn main() {
    main_of(run)
}

/// The address behind `MOVED NAME ADDRESS` in an answer.
fn moved_to(answer: &str) -> Option<SocketAddr> {
    answer.split_whitespace().skip_while(|w| *w != "MOVED").nth(2)?.parse().ok()
}

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let slow = Arc::new(AtomicBool::new(false));
    let sotrans = endpoints.start("sotrans-1", |_| 130);
    // A member system of usual pace, 17 times slower later on.
    let is_slow = slow.clone();
    let textile = endpoints.start("textile-1", move |_| if is_slow.load(Ordering::SeqCst) { 2_550 } else { 150 });
    let platform = Platform::start(&record, "platform", "");
    let free = addresses(6);
    let (resp, peer) = ([free[0], free[1]], [free[2], free[3]]);
    let doors = [free[4], free[5]];
    // n1 stands in building-a and n2 in building-b, 30 ms away.
    let (to_n1, to_n2) = (Route::start_with_delay(peer[0], 30), Route::start_with_delay(peer[1], 30));
    let map_of = |peer: [SocketAddr; 2]| {
        format!(
            "map = \"m\"\nversion = 1\n[dispatchers.n1]\npeer = \"{}\"\nresp = \"{}\"\n[dispatchers.n2]\npeer = \"{}\"\nresp = \"{}\"\n\
             [cells.one]\ndispatchers = [\"n1\"]\ntenants = [\"sotrans\", \"textile\"]\n[[cells.one.members]]\nagreement = \"sotrans.toml\"\n\
             [[cells.one.members]]\nagreement = \"textile.toml\"\n[cells.two]\ndispatchers = [\"n2\"]\n[[cells.two.members]]\n\
             agreement = \"sotrans.toml\"\n[[cells.two.members]]\nagreement = \"textile.toml\"\n",
            peer[0], resp[0], peer[1], resp[1]
        )
    };
    let map = folder.write("map.toml", &map_of(peer));
    folder.write("map-n1.toml", &map_of([peer[0], to_n2.address]));
    folder.write("map-n2.toml", &map_of([to_n1.address, peer[1]]));
    for (member, dest, at) in [("sotrans", 7, sotrans), ("textile", 12, textile)] {
        folder.write(
            &format!("{member}.toml"),
            &format!(
                "member = \"{member}\"\ndestination = {dest}\nkind = \"high-volume\"\nconnections = 16\nbuildings = [\"building-a\", \"building-b\"]\n\
                 [[endpoints]]\nid = \"{member}-1\"\naddress = \"{at}\"\nbuilding = \"building-a\"\n[classes.approval-order]\n\
                 repeats = \"dropped\"\ndropped-in = \"building\"\ndropped-for = \"20s\"\n[classes.reimbursement]\n\
                 repeats = \"forbidden\"\n"
            ),
        );
    }
    let mut configs = Vec::new();
    for (n, listen, building) in [("n1", resp[0], "building-a"), ("n2", resp[1], "building-b")] {
        let toml = folder.write(
            &format!("{n}.toml"),
            &format!(
                "application = \"{n}\"\nstate = \"{}\"\nbuilding = \"{building}\"\nnotices = \"{}\"\n[listen]\nresp = \"{listen}\"\n\
                 [mesh]\nmap = \"map-{n}.toml\"\ndispatcher = \"{n}\"\n[tenants.sotrans]\n[tenants.textile]\n\
                 [classes.approval-order]\nwanted = \"4s\"\ndeadline = \"20s\"\nordered = true\n\
                 [classes.reimbursement]\nwanted = \"3s\"\ndeadline = \"20s\"\n\
                 [[uses]]\nagreement = \"sotrans.toml\"\nconnections = 8\n[[uses]]\nagreement = \"textile.toml\"\nconnections = 8\n\
                 [work]\nslots = 12\nheld = 200\n[process]\ndescriptors = 512\n",
                folder.path(&format!("state-{n}")),
                platform.address
            ),
        );
        let json = folder.path(&format!("{n}.json"));
        let (code, text) = tool(&["app", "render", &toml, "-o", &json]);
        if code != 0 {
            cannot_run(&text);
        }
        configs.push(json);
    }
    let door = [doors[0].to_string(), doors[1].to_string()];
    let start = |name: &str, config: usize, door: &str| {
        Process::start(&folder, name, &[("ROUTER_CONFIG", &configs[config]), ("ROUTER_CONTROL", door)])
    };
    let (mut old, other) = (start("n1", 0, &door[0]), start("n2", 1, "127.0.0.1:0"));
    resp.iter().for_each(|at| wait_for_ping(*at, 10_000));
    let status = || tool(&["cell", "status", "--map", &map]).1;
    if !wait_until(10_000, || status().matches("n1 settled").count() == 2) {
        cannot_run(&format!("n1 does not serve the tenants: {}", status()));
    }
    let (code, text) = tool(&["cell", "move", "--map", &map, "sotrans", "--to", "n2", "--wait", "10"]);
    record.add(format!("operator: cell move sotrans --to n2: {code} {text}"));
    if code != 0 {
        cannot_run(&text);
    }
    sleep_ms(500);
    record.add(status().trim());

    // A reimbursement of the other tenant is in flight.
    slow.store(true, Ordering::SeqCst);
    let options = "c=reimbursement,t=textile,d=20000,k=pay-1,dest=12";
    let answer = submit(resp[0], 0, "pay-1", options, "pay");
    record.add(format!("client: SUBMIT pay-1 (textile) to n1 is answered {answer:?}"));

    // Approval orders of one key, handed in one after another by a client that begins at n1 each time.
    let stop = Arc::new(AtomicBool::new(false));
    let (ends, to, of_client) = (stop.clone(), resp, record.clone());
    let client = std::thread::spawn(move || {
        let mut accepted: Vec<String> = Vec::new();
        for n in 0.. {
            if ends.load(Ordering::SeqCst) {
                break;
            }
            let id = format!("order-{n}");
            let options = format!("c=approval-order,t=sotrans,d=15000,k=k{n},dest=7");
            let mut at = to[0];
            for _ in 0..20 {
                let answer = submit(at, 77, &id, &options, "approve").unwrap_or_default();
                let name = if at == to[0] { "n1" } else { "n2" };
                of_client.add(format!("client: SUBMIT {id} to {name} is answered {answer:?}"));
                if answer == "+OK" {
                    accepted.push(id);
                    break;
                }
                // One that is told where the tenant is goes there; else the front deals out the other one.
                match moved_to(&answer) {
                    Some(address) => at = address,
                    None => {
                        sleep_ms(20);
                        at = if at == to[0] { to[1] } else { to[0] };
                    }
                }
            }
            sleep_ms(90);
        }
        accepted
    });
    sleep_ms(200);
    let mut new = None;
    if trouble() {
        record.add("operator: the new process of n1 is started beside the old one");
        new = Some(start("n1-new", 0, &door[1]));
        let says_yes = || {
            use std::io::{Read, Write};
            let Ok(mut s) = std::net::TcpStream::connect(doors[1]) else { return false };
            let mut text = String::new();
            s.write_all(b"check\n").is_ok() && s.read_to_string(&mut text).is_ok() && text.starts_with("200")
        };
        if !wait_until(6_000, says_yes) {
            cannot_run("the new process does not say yes");
        }
        record.add("the new process says yes; SIGTERM to the old one");
        old.signal(SIGTERM);
        sleep_ms(1_400);
        record.add(status().trim());
        old.wait_for_end(2_300);
        record.add(format!("the old process ends: {:?}", old.ended()));
        old.kill();
        sleep_ms(1_500);
    } else {
        sleep_ms(3_000);
    }
    stop.store(true, Ordering::SeqCst);
    let accepted = client.join().unwrap_or_default();
    sleep_ms(4_000);
    record.add(status().trim());

    // A key's messages go one at a time, in the order in which they were handed in.
    let mut broken = Vec::new();
    let calls: Vec<Call> = accepted.iter().flat_map(|id| endpoints.of(id)).collect();
    for (n, earlier) in calls.iter().enumerate() {
        for later in calls[n + 1..].iter().filter(|c| c.id != earlier.id) {
            if later.begun < earlier.ended.unwrap_or(u64::MAX) {
                broken.push(format!(
                    "{} of the same key begins at {} ms, before {} has run ({} to {:?} ms)",
                    later.id, later.begun, earlier.id, earlier.begun, earlier.ended
                ));
            }
        }
    }
    drop((new, other));
    record.finish(&broken)
}
