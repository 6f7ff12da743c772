//! The configuration that the platform gives to a dispatcher, as the rig and the tests write it.

/// Settings like those of the platform, with three classes (`safe`, `order`, `pay`), one tenant `acme`, and zones `a` and `b`.
const SETTINGS: &str = r#"{"balancers":BALANCERS,"round":1,
 "ceilings":{"cancel":true,"connect_timeout":1000,"keepalive":10000,"max_open":100,"max_retry_after":2000,
   "most_tries":8,"probes":true,"retry_after":true},
 "classes":[
  {"name":"safe","effect":"idempotent","promise":1000,"deadline":6000,"worth":2},
  {"name":"order","effect":"deduplicated","group":"zone","in_order":true,"window":20000,"promise":4000,
   "deadline":20000,"late_worth":0.5,"worth":1},
  {"name":"pay","effect":"at_most_once","promise":3000,"deadline":20000,"late_worth":0.5,"worth":4}],
 "family_info":{"kind_apart":[true],"slots":8},
 "guarantees":{"answer_slack":20,"cold":COLD_MS,"cold_from":0.5,"drain_grace":2000,"key_quiet":100,
   "overload_factor":2,"overload_for":2000},
 "kinds":["m"],"tenants":[{"name":"acme","quota_per_s":1000}],"zones":["a","b"],"zone":"a"}"#;

/// The wanted time and the deadline of a class in milliseconds, as in the settings.
pub fn wanted_and_deadline_ms(class: &str) -> (u64, u64) {
    match class {
        "safe" => (1_000, 6_000),
        "order" => (4_000, 20_000),
        _ => (3_000, 20_000),
    }
}

/// The JSON configuration of one dispatcher. `seed` is hexadecimal, `disk_mb` the size limit of the state folder in megabytes,
/// `balancers` the number of dispatchers that the platform runs, `cold_ms` the time in milliseconds for which an endpoint is
/// cold after an outage, and `discovery` a JSON value: `null`, or an address in quotes.
pub fn dispatcher_json(
    name: &str,
    seed: &str,
    disk_mb: f64,
    balancers: usize,
    cold_ms: u64,
    discovery: &str,
) -> String {
    let settings = SETTINGS.replacen("BALANCERS", &balancers.to_string(), 1);
    let settings = settings.replacen("COLD_MS", &cold_ms.to_string(), 1);
    format!(
        r#"{{"name":"{name}","seed":"{seed}","limits":{{"sockets":256,"disk_mb":{disk_mb}}},"settings":{settings},
           "discovery":{discovery}}}"#
    )
}
