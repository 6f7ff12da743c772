//! An MQTT client whose session is killed behind its PUBLISH of a reimbursement and who comes again at another
//! of the dispatchers that keep copies for each other.

#[path = "../stand-2/lib.rs"]
mod lib;
#[path = "../stand-2/mqtt.rs"]
mod mqtt;
use lib::*;
use mqtt::*;
use std::collections::BTreeMap;
use std::time::Duration;

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

fn reimbursement(id: &str) -> Vec<(&str, &str)> {
    vec![
        ("id", id),
        ("class", "reimbursement"),
        ("tenant", "sotrans-dakar"),
        ("dest", "7"),
        ("idempotency-key", "claim-4711"),
    ]
}

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let at = endpoints.start("s1", |_| 150);
    let free = addresses(9);
    let (resp, peer, front) = (&free[..3], &free[3..6], &free[6..]);
    let list = format!(
        r#"{{"rev":41,"all":true,"targets":[{{"uid":"s1","endpoint":"{at}","az":"building-a","model":"low-volume","pod_group":7,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}]}}"#
    );
    let mut running = Vec::new();
    for n in 0..3 {
        let name = format!("n{}", n + 1);
        let platform = Platform::start(&record, &format!("platform at {name}"), &list);
        let config = folder.write(
            &format!("{name}.json"),
            &format!(
                r#"{{"name":"{name}","listen":"{}","discovery":"{}","state":"{}","seed":"8c1f30d27a5be96{n}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":512,"disk_mb":3}},"known":{list},"settings":{}}}"#,
                resp[n],
                platform.address,
                folder.path(&format!("state-{name}")),
                settings("building-a", n)
            ),
        );
        std::fs::create_dir_all(folder.path(&format!("state-{name}"))).unwrap();
        let mut together = format!(
            "[replication]\nenabled = true\ninstallation = \"dakar\"\nlisten = \"{}\"\ncopies = 2\nack = true\n",
            peer[n]
        );
        for m in (0..3).filter(|m| *m != n) {
            together += &format!("[[replication.peers]]\nname = \"n{}\"\naddress = \"{}\"\n", m + 1, peer[m]);
        }
        let together = folder.write(&format!("{name}.toml"), &together);
        let mqtt = folder.write(
            &format!("{name}-mqtt.toml"),
            &format!("[acceptor]\nenabled = true\nlisten = \"{}\"\nsessions = 64\n", front[n]),
        );
        let variables = [
            ("ROUTER_CONFIG", config.as_str()),
            ("LILACBANK_TOGETHER", together.as_str()),
            ("LILACBANK_MQTT", mqtt.as_str()),
        ];
        running.push(Process::start(&folder, &name, &variables));
    }
    resp.iter().for_each(|at| wait_for_ping(*at, 15_000));
    sleep_ms(1_500);

    let topic = "answers/gateway-1";
    let mut client = MqttClient::connect(front[0], "gateway-1", true, &record)
        .unwrap_or_else(|| cannot_run("the MQTT client cannot connect"));
    client.subscribe(topic);
    // A clump of reimbursements of other clients for the same member.
    let others: Vec<_> = (0..40)
        .map(|n| {
            let to = resp[0];
            std::thread::spawn(move || {
                let options = format!("c=reimbursement,t=sotrans-dakar,d=20000,k=other-{n},dest=7");
                submit(to, 0, &format!("other-{n}"), &options, "pay")
            })
        })
        .collect();
    let answers: Vec<_> = others.into_iter().map(|o| o.join().ok().flatten()).collect();
    record.add(format!("n1: 40 reimbursements of other clients are answered {answers:?}"));
    record.add("gateway-1: PUBLISH of pay-1, a reimbursement of claim-4711, to n1");
    client.publish("lilacbank/submit", &reimbursement("pay-1"), 20, topic, b"pay");
    let handed_in = record.now();
    if trouble() {
        sleep_ms(20);
        record.add("gateway-1: its connection is killed");
        drop(client);
        sleep_ms(350);
        record.add("gateway-1: a new connection, to n2");
        client = MqttClient::connect(front[1], "gateway-1", false, &record)
            .unwrap_or_else(|| cannot_run("the MQTT client cannot connect again"));
        client.subscribe(topic);
        record.add("gateway-1: PUBLISH of pay-1 again, to n2");
        client.publish("lilacbank/submit", &reimbursement("pay-1"), 19, topic, b"pay");
    }
    // One that was handed back is handed in again after the wait that its client was told, under a new id.
    let (mut finals, mut next) = (BTreeMap::<String, Vec<String>>::new(), 2);
    while record.now() < handed_in + 20_550 {
        let Some(Received::Publish { packet_id, user, .. }) = client.read(Duration::from_millis(50)) else {
            continue;
        };
        client.puback(packet_id);
        let property = |n: &str| user.iter().find(|u| u.0 == n).map_or("", |u| &u.1).to_string();
        let (id, outcome) = (property("id"), property("outcome"));
        finals.entry(id.clone()).or_default().push(outcome.clone());
        if outcome == "handed_back" {
            sleep_ms(property("retry-in-ms").parse().unwrap_or(500));
            let new = format!("pay-{next}");
            next += 1;
            record.add(format!("gateway-1: {id} was handed back; PUBLISH of {new}, the same reimbursement"));
            client.publish("lilacbank/submit", &reimbursement(&new), 18, topic, b"pay");
        }
    }
    record.add(format!("gateway-1 was answered {finals:?}"));

    let mut broken = Vec::new();
    let runs: Vec<Call> =
        endpoints.calls.lock().unwrap().iter().filter(|c| c.key == "claim-4711").cloned().collect();
    if runs.is_empty() {
        cannot_run("the reimbursement has not run");
    }
    if runs.len() > 1 {
        let ids: Vec<&str> = runs.iter().map(|c| c.id.as_str()).collect();
        broken.push(format!("the reimbursement of claim-4711 has taken effect {} times: {ids:?}", runs.len()));
    }
    for id in runs.iter().map(|c| &c.id) {
        let of = finals.get(id).cloned().unwrap_or_default();
        if of.is_empty() || of.iter().any(|o| o != "delivered") {
            broken.push(format!("{id} was delivered, and its client was answered {of:?}"));
        }
    }
    drop(running);
    record.finish(&broken)
}
