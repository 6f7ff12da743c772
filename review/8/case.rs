//! Dispatchers that keep copies for each other; the zone of one of them is partitioned for 6 s while it works
//! on approval orders that it has taken on.

#[path = "../stand-2/lib.rs"]
mod lib;
use lib::*;

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

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let a = endpoints.start("a1 in building-a", |_| 120);
    let a2 = endpoints.start("a2 in building-a", |_| 120);
    let b = endpoints.start("b1 in building-b", |_| 120);
    let free = addresses(6);
    let (resp, peer) = ([free[0], free[1], free[2]], [free[3], free[4], free[5]]);
    // The paths between the two buildings: n1 stands in building-a, n2 and n3 in building-b.
    let n1_to_b = Route::start_with_delay(b, 20);
    let others_to_a = Route::start_with_delay(a, 20);
    let others_to_a2 = Route::start_with_delay(a2, 20);
    let to_n1 = Route::start_with_delay(peer[0], 20);
    let n1_to_n2 = Route::start_with_delay(peer[1], 20);
    let n1_to_n3 = Route::start_with_delay(peer[2], 20);
    let between = [&n1_to_b, &others_to_a, &others_to_a2, &to_n1, &n1_to_n2, &n1_to_n3];
    let mut running = Vec::new();
    let mut platforms = Vec::new();
    for n in 0..3 {
        let name = format!("n{}", n + 1);
        let (zone, at_a, at_a2, at_b) = match n {
            0 => ("building-a", a, a2, n1_to_b.address),
            _ => ("building-b", others_to_a.address, others_to_a2.address, b),
        };
        let target = |uid: &str, at: std::net::SocketAddr, az: &str| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{at}","az":"{az}","model":"low-volume","pod_group":7,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}"#
            )
        };
        // The agent lists the endpoints of its own building first.
        let mut targets = [
            target("a1", at_a, "building-a"),
            target("a2", at_a2, "building-a"),
            target("b1", at_b, "building-b"),
        ];
        targets.rotate_left(if n > 0 { 2 } else { 0 });
        let list = format!(r#"{{"rev":41,"all":true,"targets":[{}]}}"#, targets.join(","));
        let platform = Platform::start(&record, &format!("platform at {name}"), &list);
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
            let at = match (n, m) {
                (_, 0) => to_n1.address,
                (0, 1) => n1_to_n2.address,
                (0, _) => n1_to_n3.address,
                _ => peer[m],
            };
            together += &format!("[[replication.peers]]\nname = \"n{}\"\naddress = \"{at}\"\n", m + 1);
        }
        let together = folder.write(&format!("{name}.toml"), &together);
        let variables = [("ROUTER_CONFIG", config.as_str()), ("LILACBANK_TOGETHER", together.as_str())];
        running.push(Process::start(&folder, &name, &variables));
        platforms.push(platform);
    }
    resp.iter().for_each(|at| wait_for_ping(*at, 15_000));
    sleep_ms(1_500);
    // Usual traffic, from which each dispatcher learns the pace of the endpoints.
    for n in 0..24 {
        for at in resp {
            let id = format!("status-{}-{n}", at.port());
            let answer = submit(at, 0, &id, "c=claim-status,t=sotrans-dakar,d=8000,dest=7", "status");
            record.add(format!("client: SUBMIT {id} is answered {answer:?}"));
        }
        sleep_ms(100);
    }
    sleep_ms(500);

    // A clump of approval orders of eight keys; those of one key are handed in one after another.
    let clients: Vec<_> = (0..8u64)
        .map(|key| {
            let (record, at) = (record.clone(), resp[0]);
            std::thread::spawn(move || {
                let mut accepted = Vec::new();
                for n in 0..10 {
                    let id = format!("order-{key}-{n}");
                    let options = format!("c=approval-order,t=sotrans-dakar,d=20000,k=k-{key}-{n},dest=7");
                    record.add(format!("client: SUBMIT {id} to n1"));
                    let answer = submit(at, 100 + key, &id, &options, "approve");
                    record.add(format!("n1: {id} is answered {answer:?}"));
                    if answer.as_deref() == Some("+OK") {
                        accepted.push(id);
                    }
                }
                accepted
            })
        })
        .collect();
    let accepted: Vec<String> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    if accepted.is_empty() {
        cannot_run("nothing is accepted");
    }
    let cut = trouble();
    record.add(if cut { "building-a is cut off from building-b" } else { "no cut" });
    Route::set_cut(&between, cut);
    sleep_ms(6_000);
    Route::set_cut(&between, false);
    record.add("the buildings reach each other");
    sleep_ms(4_000);

    let mut broken = Vec::new();
    for id in &accepted {
        let calls = endpoints.of(id);
        let building = |c: &Call| c.endpoint.split(" in ").nth(1).unwrap_or_default().to_string();
        for first in &calls {
            // It has run and is answered with 200; only endpoints of its building drop a repeat.
            let Some(ended) = first.ended else { continue };
            for again in calls.iter().filter(|c| c.begun > ended && building(c) != building(first)) {
                broken.push(format!(
                    "{id} has run at {} until {ended} ms and was sent to {} at {} ms",
                    first.endpoint, again.endpoint, again.begun
                ));
            }
        }
    }
    drop(running);
    record.finish(&broken)
}
