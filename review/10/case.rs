//! A restart of a dispatcher while an MQTT session waits for the final answers of what it has handed in.

#[path = "../stand-2/lib.rs"]
mod lib;
#[path = "../stand-2/mqtt.rs"]
mod mqtt;
use lib::*;
use mqtt::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SETTINGS: &str = r#"{"balancers":1,"rank":0,"round":5.0,"family":"deliver","counted_by":"request","discovery":"pushed",
"classes":[
{"name":"claim-status","effect":"idempotent","group":"all","promise":1000.0,"deadline":8000.0,"window":5000.0,"late_worth":0.0,"worth":2.0,"stream":false},
{"name":"reimbursement","effect":"at_most_once","group":"all","promise":3000.0,"deadline":20000.0,"window":5000.0,"late_worth":0.5,"worth":4.0,"stream":false}],
"ceilings":{"cancel":true,"connect_timeout":1000.0,"keepalive":10000.0,"max_open":200,"max_retry_after":2000.0,"most_tries":8,"peers":false,"probes":true,"retry_after":true,"second_copies":false,"streams_per_conn":1},
"guarantees":{"answer_slack":20.0,"ask_within":10000.0,"cold":13000.0,"cold_from":0.22,"drain_grace":2000.0,"key_quiet":100.0,"overload_factor":2.0,"overload_for":2000.0},
"family_info":{"batch_by_kind":[1],"decay":"line","kind_apart":[false],"slots":7},
"kinds":["high-volume"],"zones":["building-a"],"zone":"building-a",
"tenants":[{"name":"sotrans-dakar","quota_per_s":100.0,"share":1.0}],"telemetry":{"fields":[],"via":"none"},"weights":"none","over_share_worth":0.2}"#;

/// How long a message may be delivered, in seconds.
const VALID_S: u32 = 10;

fn main() {
    main_of(run)
}

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let at = endpoints.start("s1", |_| 150);
    let list = format!(
        r#"{{"rev":41,"all":true,"targets":[{{"uid":"s1","endpoint":"{at}","az":"building-a","model":"high-volume","pod_group":7,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}]}}"#
    );
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
    let start =
        |name: &str| Process::start(&folder, name, &[("ROUTER_CONFIG", &config), ("LILACBANK_MQTT", &front)]);
    let mut dispatcher = start("n1");
    wait_for_ping(free[0], 10_000);
    sleep_ms(300);

    let (name, topic) = ("gateway-1", "answers/gateway-1");
    let mut client = MqttClient::connect(free[1], name, true, &record)
        .unwrap_or_else(|| cannot_run("the MQTT client cannot connect"));
    client.subscribe(topic);
    let ids: Vec<String> = (0..12).map(|n| format!("pay-{n}")).collect();
    let handed_in = record.now();
    let mut packets = BTreeMap::new();
    for id in &ids {
        let user = [
            ("id", id.as_str()),
            ("class", "reimbursement"),
            ("tenant", "sotrans-dakar"),
            ("dest", "7"),
        ];
        record.add(format!("gateway-1: PUBLISH of {id}"));
        packets.insert(client.publish("lilacbank/submit", &user, VALID_S, topic, b"pay"), id.clone());
    }
    let (mut accepted, mut finals) = (BTreeSet::new(), BTreeMap::<String, Vec<String>>::new());
    let mut killed = false;
    while record.now() < handed_in + u64::from(VALID_S) * 1_000 + 2_000 {
        if trouble() && !killed && record.now() >= handed_in + 200 {
            killed = true;
            record.add("SIGKILL to n1");
            dispatcher.kill();
            sleep_ms(600);
            record.add("n1 is started again, on its folder");
            dispatcher = start("n1-again");
            wait_for_ping(free[0], 10_000);
            record.add("n1 answers PING");
            sleep_ms(500);
            client = MqttClient::connect_at_once(free[1], name, false, &record)
                .unwrap_or_else(|| cannot_run("the MQTT client cannot connect again"));
        }
        match client.read(Duration::from_millis(20)) {
            // Subscriptions belong to the session: where it is present, there is nothing to subscribe again.
            Some(Received::Connack { session_present: false }) => client.subscribe(topic),
            Some(Received::Puback { reason: 0, packet_id }) => {
                accepted.extend(packets.get(&packet_id).cloned());
            }
            Some(Received::Publish { packet_id, user, .. }) => {
                let property = |n: &str| user.iter().find(|u| u.0 == n).map_or("", |u| &u.1).to_string();
                finals.entry(property("id")).or_default().push(property("outcome"));
                client.puback(packet_id);
            }
            _ => {}
        }
    }
    record.add(format!("taken on: {accepted:?}"));
    record.add(format!("gateway-1 was answered {finals:?}"));
    if accepted.is_empty() {
        cannot_run("nothing is taken on");
    }
    let mut broken = Vec::new();
    for id in &accepted {
        if !finals.contains_key(id) {
            let ran: Vec<_> = endpoints.of(id).iter().filter_map(|c| c.ended).collect();
            broken.push(format!("{id} was taken on, ran until {ran:?} ms, and has no final answer"));
        }
    }
    drop(dispatcher);
    record.finish(&broken)
}
