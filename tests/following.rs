//! What an operator can follow: one message by its id through the log, why a connection was closed, and the figures of the rules.

mod stand;
use stand::*;

const DEBUG: (&str, &str) = ("RUST_LOG", "lilacbank=debug");

/// Guards against a step of a message's way that the log does not tell, or tells without its id.
#[test]
fn one_message_is_followed_by_its_id_from_its_taking_to_its_end() {
    let worker = Worker::start(|_, nth| match nth {
        0 => Reply::Answer("429 Too Many Requests\r\nRetry-After: 0.2"),
        1 => Reply::Break,
        _ => Reply::Answer("200 OK"),
    });
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let mut d = site.start_with("127.0.0.1:0", &[DEBUG]);
    assert_eq!(d.client().submit("m1", "c=safe,t=acme,d=6000,dest=1"), "+OK");
    let mut step = |text: &str, has: &[&str]| {
        let rest = loop {
            let rest = d.logged(text);
            if rest.contains("id=m1") {
                break rest;
            }
        };
        has.iter().for_each(|h| assert!(rest.contains(h), "'{text}' tells no {h}: {rest}"));
    };
    step("a call is taken on", &["class=safe", "member=1", "left_ms="]);
    step("a delegation begins", &["worker=w1", "attempt=0", "after=nothing"]);
    step("a delegation ended", &["outcome=Refused", "wait_ms=200"]);
    step("a delegation begins", &["attempt=1", "after=Refused"]);
    step("a delegation ended", &["outcome=Reset"]);
    step("a delegation begins", &["attempt=2", "after=Reset"]);
    step("a delegation ended", &["outcome=Delivered"]);
    step("a call ended", &["outcome=delivered", "attempts=3"]);
}

/// Guards against a message that is refused, or a connection that is closed, for a reason that nobody can read.
#[test]
fn a_refusal_and_a_close_say_why() {
    let site = Site::new(&[]);
    site.platform.push(&entry("w1", "127.0.0.1:9", "a", 1, "in_service"));
    let mut d = site.start_with("127.0.0.1:0", &[DEBUG]);
    d.logged("the registry told news");
    let mut client = d.client();
    assert!(
        client.submit("m1", "c=safe,t=acme,d=900,dest=7").starts_with("-BUSY"),
        "a destination that is not listed"
    );
    let refused = d.logged("a call is not taken on");
    assert!(["id=m1", "outcome=busy", "why=not_listed"].iter().all(|t| refused.contains(t)), "{refused}");
    client.send(b"nonsense\r\n");
    assert!(client.line().starts_with("-ERR"));
    drop(client);
    assert!(d.logged("a client's connection is closed").contains("cause="));
    drop(d.client());
    assert!(d.logged("a client's connection is closed").contains("cause=by_client"));
}

/// Guards against rules whose answers are not counted where operators look.
#[test]
fn the_figures_tell_what_the_rules_did_not_allow() {
    let worker =
        Worker::start(|_, nth| Reply::Answer(if nth == 0 { "429 No\r\nRetry-After: 1" } else { "200 OK" }));
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let config = site.changed("\"discovery\":null", "\"discovery\":null,\"control\":\"127.0.0.1:0\"");
    let mut d = site.start_with("127.0.0.1:0", &[("ROUTER_CONFIG", &config)]);
    assert_eq!(d.client().submit("m1", "c=safe,t=acme,d=6000,dest=1"), "+OK");
    assert!(d.client().submit("m2", "c=none,t=acme,d=6000,dest=1").starts_with("-ERR"));
    assert!(d.client().submit("m3", "c=safe,t=acme,d=6000,dest=9").starts_with("-BUSY"));
    until("it is delivered", || worker.count() >= 2);
    assert_eq!(vars(&d)["not_taken"], serde_json::json!({ "not_listed": 1, "unreadable": 1 }));
    let guard = &vars(&d)["guard"];
    assert_eq!(guard["violations"], serde_json::json!({}), "{guard}");
    assert!(guard["closed"]["by_client"].as_u64() >= Some(1), "{guard}");
    assert!(guard["refused"].is_object(), "{guard}");
    d.signal("-USR1");
    assert!(d.logged("rules: ").contains("\"violations\":{}"));
}
