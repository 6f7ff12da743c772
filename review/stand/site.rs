//! Configurations with the figures of the site dakar-plateau, in the form that the deployment page describes.
#![allow(dead_code)]

use super::stand::{folder, list_json, Listed};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What differs between the dispatchers of an installation.
pub struct Node<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub discovery: SocketAddr,
    pub zone: &'a str,
    pub rank: usize,
    pub dispatchers: usize,
}

/// The settings: three classes, two kinds of members, two buildings.
fn settings(node: &Node) -> String {
    let (rank, dispatchers, zone) = (node.rank, node.dispatchers, node.zone);
    let class = |name: &str, effect: &str, promise: u32, deadline: u32, window: u32, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"group\":\"zone\",\"promise\":{promise},\
             \"deadline\":{deadline},\"window\":{window},\"stream\":false,{rest}}}"
        )
    };
    let classes = [
        class("claim-status", "idempotent", 1000, 8000, 5000, "\"worth\":2.0,\"late_worth\":0.0"),
        class(
            "approval-order",
            "deduplicated",
            4000,
            20000,
            20000,
            "\"in_order\":true,\"worth\":1.0,\"late_worth\":0.5",
        ),
        class("reimbursement", "at_most_once", 3000, 20000, 5000, "\"worth\":4.0,\"late_worth\":0.5"),
    ];
    format!(
        "{{\"balancers\":{dispatchers},\"rank\":{rank},\"round\":5.0,\"discovery\":\"pushed\",\"family\":\"deliver\",\
         \"callers\":{{\"marks_retry\":true}},\
         \"ceilings\":{{\"cancel\":true,\"connect_timeout\":1000.0,\"keepalive\":10000.0,\"max_open\":264,\
         \"max_retry_after\":2000.0,\"most_tries\":8,\"peers\":false,\"probes\":true,\"retry_after\":true,\
         \"second_copies\":false,\"streams_per_conn\":1}},\
         \"classes\":[{}],\"counted_by\":\"request\",\
         \"family_info\":{{\"batch_by_kind\":[1,1],\"decay\":\"line\",\"kind_apart\":[false,true],\
         \"route_fee\":[0.01,0.04],\"slots\":7,\"turned_away_price\":0.05}},\
         \"guarantees\":{{\"answer_slack\":20.0,\"ask_within\":10000.0,\"cold\":13000.0,\"cold_from\":0.22,\
         \"drain_grace\":2000.0,\"key_quiet\":100.0,\"overload_factor\":2.0,\"overload_for\":2000.0}},\
         \"kinds\":[\"high-volume\",\"low-volume\"],\"over_share_worth\":0.2,\
         \"prices\":{{\"cross_zone\":0.0,\"handshake\":0.06,\"probe\":0.01,\"waste\":0.25,\"late_fail\":0.03}},\
         \"telemetry\":{{\"fields\":[\"x0\",\"x1\"],\"via\":\"answers\"}},\
         \"tenants\":[{{\"name\":\"sotrans-dakar\",\"quota_per_s\":13.0,\"share\":0.3}},\
         {{\"name\":\"ciment-rufisque\",\"quota_per_s\":12.0,\"share\":0.28}}],\
         \"weights\":\"none\",\"zone\":\"{zone}\",\"zones\":[\"building-a\",\"building-b\"]}}",
        classes.join(",")
    )
}

/// Writes a file into the temporary folder of the case.
pub fn write(name: &str, text: &str) -> PathBuf {
    let path = folder().join(name);
    fs::write(&path, text).expect("a file cannot be written");
    path
}

/// The environment of a dispatcher: its configuration file and its state folder.
pub fn environment(node: &Node, known: &[Listed]) -> Vec<(&'static str, String)> {
    let state = folder().join(format!("state.{}", node.name));
    fs::create_dir_all(&state).expect("no state folder");
    let text = format!(
        "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\
         \"known\":{},\"settings\":{}}}",
        node.name,
        node.listen,
        node.discovery,
        list_json(1, known),
        settings(node)
    );
    let file = write(&format!("{}.json", node.name), &text);
    vec![
        ("ROUTER_CONFIG", file.display().to_string()),
        ("ROUTER_NAME", node.name.to_string()),
        ("ROUTER_LISTEN", node.listen.to_string()),
        ("ROUTER_DISCOVERY", node.discovery.to_string()),
        ("ROUTER_CONTROL", node.control.to_string()),
        ("ROUTER_STATE", state.display().to_string()),
    ]
}
