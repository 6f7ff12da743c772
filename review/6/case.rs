//! An MQTT client whose session is killed behind its PUBLISH of a reimbursement that the dispatcher refuses,
//! because the list that names its destination comes late.

#[path = "../stand-2/lib.rs"]
mod lib;
#[path = "../stand-2/mqtt.rs"]
mod mqtt;
use lib::*;
use mqtt::*;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"balancers":1,"rank":0,"round":5.0,"family":"deliver","counted_by":"request","discovery":"pushed",
"classes":[
{"name":"claim-status","effect":"idempotent","group":"all","promise":1000.0,"deadline":8000.0,"window":5000.0,"late_worth":0.0,"worth":2.0,"stream":false},
{"name":"reimbursement","effect":"at_most_once","group":"all","promise":3000.0,"deadline":20000.0,"window":5000.0,"late_worth":0.5,"worth":4.0,"stream":false}],
"ceilings":{"cancel":true,"connect_timeout":1000.0,"keepalive":10000.0,"max_open":16,"max_retry_after":2000.0,"most_tries":8,"peers":false,"probes":true,"retry_after":true,"second_copies":false,"streams_per_conn":1},
"guarantees":{"answer_slack":20.0,"ask_within":10000.0,"cold":13000.0,"cold_from":0.22,"drain_grace":2000.0,"key_quiet":100.0,"overload_factor":2.0,"overload_for":2000.0},
"family_info":{"batch_by_kind":[1],"decay":"line","kind_apart":[false],"slots":7},
"kinds":["high-volume"],"zones":["building-a"],"zone":"building-a",
"tenants":[{"name":"sotrans-dakar","quota_per_s":100.0,"share":1.0}],"telemetry":{"fields":[],"via":"none"},"weights":"none","over_share_worth":0.2}"#;

/// The body of the reimbursement: the claim that it pays.
const CLAIM: &[u8] = b"claim-4711";

fn main() {
    main_of(run)
}

fn reimbursement(id: &str) -> Vec<(&str, &str)> {
    vec![
        ("id", id),
        ("class", "reimbursement"),
        ("tenant", "sotrans-dakar"),
        ("dest", "7"),
    ]
}

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let at = endpoints.start("s1", |_| 150);
    let target = |uid: &str, dest: u32| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{at}","az":"building-a","model":"high-volume","pod_group":{dest},"state":"in_service","capacity_hint":1.0,"boot_ms":0}}"#
        )
    };
    let list = format!(r#"{{"rev":41,"all":true,"targets":[{}]}}"#, target("s8", 8));
    let platform = Platform::start(&record, "platform", &list);
    let free = addresses(2);
    let config = folder.write(
        "n1.json",
        &format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","state":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":512,"disk_mb":3}},"known":{list},"settings":{SETTINGS}}}"#,
            free[0],
            platform.address,
            folder.path("state")
        ),
    );
    std::fs::create_dir_all(folder.path("state")).unwrap();
    let front = folder.write(
        "mqtt.toml",
        &format!("[acceptor]\nenabled = true\nlisten = \"{}\"\nsessions = 64\n", free[1]),
    );
    let dispatcher =
        Process::start(&folder, "n1", &[("ROUTER_CONFIG", &config), ("LILACBANK_MQTT", &front)]);
    wait_for_ping(free[0], 10_000);
    sleep_ms(300);

    let mut client = MqttClient::connect(free[1], "gateway-1", true, &record)
        .unwrap_or_else(|| cannot_run("the MQTT client cannot connect"));
    client.subscribe("answers/gateway-1");

    record.add("gateway-1: PUBLISH of pay-1, a reimbursement of claim-4711");
    let first = client.publish("lilacbank/submit", &reimbursement("pay-1"), 20, "answers/gateway-1", CLAIM);
    let (of_list, pusher) = (record.clone(), platform.clone());
    let change = format!(r#"{{"rev":42,"all":false,"targets":[{}]}}"#, target("s1", 7));
    std::thread::spawn(move || {
        sleep_ms(400);
        pusher.push(&of_list, &change);
    });
    if trouble() {
        record.add("gateway-1: its connection is killed");
        drop(client);
        sleep_ms(700);
        record.add("gateway-1: a new connection; PUBLISH of pay-1 again, right behind CONNECT");
        client = MqttClient::connect_at_once(free[1], "gateway-1", false, &record)
            .unwrap_or_else(|| cannot_run("the MQTT client cannot connect again"));
        let again = reimbursement("pay-1");
        client.publish_again(first, "lilacbank/submit", &again, 19, "answers/gateway-1", CLAIM);
    }
    // The client deals with one answer at a time, and acknowledges it when it has: one that was handed back
    // is handed in again after the wait that it was told, under a new id.
    let (mut finals, mut next) = (Vec::new(), 2);
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        let Some(packet) = client.read(Duration::from_millis(100)) else { continue };
        let Received::Publish { packet_id, user, .. } = packet else { continue };
        let property = |n: &str| user.iter().find(|u| u.0 == n).map_or("", |u| u.1.as_str()).to_string();
        let (id, outcome) = (property("id"), property("outcome"));
        finals.push((id.clone(), outcome.clone()));
        if outcome == "handed_back" {
            sleep_ms(property("retry-in-ms").parse().unwrap_or(500));
            let new = format!("pay-{next}");
            next += 1;
            record.add(format!("gateway-1: {id} was handed back; PUBLISH of {new}, the same reimbursement"));
            client.publish("lilacbank/submit", &reimbursement(&new), 18, "answers/gateway-1", CLAIM);
        }
        client.puback(packet_id);
    }
    record.add(format!("gateway-1 has got {finals:?}"));

    let mut broken = Vec::new();
    let runs: Vec<Call> =
        endpoints.calls.lock().unwrap().iter().filter(|c| c.body.as_bytes() == CLAIM).cloned().collect();
    if runs.len() > 1 {
        let ids: Vec<&str> = runs.iter().map(|c| c.id.as_str()).collect();
        broken.push(format!("the reimbursement of claim-4711 has taken effect {} times: {ids:?}", runs.len()));
    }
    if runs.is_empty() {
        cannot_run("the reimbursement has not run");
    }
    for id in runs.iter().map(|c| &c.id) {
        let of: Vec<&str> = finals.iter().filter(|f| f.0 == *id).map(|f| f.1.as_str()).collect();
        // The same answer to a message that was handed in again is no second one.
        if of.is_empty() || of.iter().any(|o| *o != "delivered") {
            broken.push(format!("{id} was delivered, and its client was answered {of:?}"));
        }
    }
    drop(dispatcher);
    record.finish(&broken)
}
