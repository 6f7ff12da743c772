//! What operators can trace: a message by its id through the log, the reason why a connection was closed, and
//! the metrics of the rules.

mod stand;
use stand::*;

const DEBUG: (&str, &str) = ("RUST_LOG", "lilacbank=debug");

/// Guards against a step in the processing of a message that is not logged, or is logged without the id.
#[test]
fn the_log_traces_a_message_by_its_id_from_acceptance_to_final_answer() {
    let endpoint = EndpointStandIn::start(|_, nth| match nth {
        0 => Reply::Answer("429 Too Many Requests\r\nRetry-After: 0.2"),
        1 => Reply::CloseConnection,
        _ => Reply::Answer("200 OK"),
    });
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let mut d = site.start_with("127.0.0.1:0", &[DEBUG]);
    assert_eq!(d.client().submit("m1", "c=safe,t=acme,d=6000,dest=1"), "+OK");
    let mut expect_step = |text: &str, fields: &[&str]| {
        let rest = loop {
            let rest = d.wait_for_log(text);
            if rest.contains("id=m1") {
                break rest;
            }
        };
        fields.iter().for_each(|f| assert!(rest.contains(f), "'{text}' is logged without {f}: {rest}"));
    };
    expect_step("a message is accepted", &["class=safe", "member=1", "left_ms="]);
    expect_step("an attempt begins", &["worker=w1", "attempt=0", "after=nothing"]);
    expect_step("an attempt ended", &["outcome=Refused", "wait_ms=200"]);
    expect_step("an attempt begins", &["attempt=1", "after=Refused"]);
    expect_step("an attempt ended", &["outcome=Reset"]);
    expect_step("an attempt begins", &["attempt=2", "after=Reset"]);
    expect_step("an attempt ended", &["outcome=Delivered"]);
    expect_step("a message ended", &["outcome=delivered", "attempts=3"]);
}

/// Guards against a rejected message or a closed connection without its reason in the log.
#[test]
fn the_log_gives_the_reason_of_a_rejection_and_of_a_close() {
    let site = TestInstallation::new(&[]);
    site.platform.publish_change(&list_entry("w1", "127.0.0.1:9", "a", 1, "in_service"));
    let mut d = site.start_with("127.0.0.1:0", &[DEBUG]);
    d.wait_for_log("the registry sent an endpoint list");
    let mut client = d.client();
    assert!(
        client.submit("m1", "c=safe,t=acme,d=900,dest=7").starts_with("-BUSY"),
        "a destination that is not listed"
    );
    let rejected = d.wait_for_log("a message is rejected");
    assert!(["id=m1", "outcome=busy", "why=not_listed"].iter().all(|t| rejected.contains(t)), "{rejected}");
    client.send(b"nonsense\r\n");
    assert!(client.read_line().starts_with("-ERR"));
    drop(client);
    assert!(d.wait_for_log("a client's connection is closed").contains("cause="));
    drop(d.client());
    assert!(d.wait_for_log("a client's connection is closed").contains("cause=by_client"));
}

/// Guards against decisions of the rules that are missing in the metrics.
#[test]
fn the_metrics_count_what_the_rules_did_not_permit() {
    let endpoint = EndpointStandIn::start(|_, nth| {
        Reply::Answer(if nth == 0 { "429 No\r\nRetry-After: 1" } else { "200 OK" })
    });
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let config =
        site.write_changed_config("\"discovery\":null", "\"discovery\":null,\"control\":\"127.0.0.1:0\"");
    let mut d = site.start_with("127.0.0.1:0", &[("ROUTER_CONFIG", &config), DEBUG]);
    // Until the first endpoint list has arrived, every destination is accepted, the unlisted one of m3 too.
    d.wait_for_log("the registry sent an endpoint list");
    assert_eq!(d.client().submit("m1", "c=safe,t=acme,d=6000,dest=1"), "+OK");
    assert!(d.client().submit("m2", "c=none,t=acme,d=6000,dest=1").starts_with("-ERR"));
    assert!(d.client().submit("m3", "c=safe,t=acme,d=6000,dest=9").starts_with("-BUSY"));
    wait_until("it is delivered", || endpoint.call_count() >= 2);
    assert_eq!(metrics(&d)["not_taken"], serde_json::json!({ "not_listed": 1, "unreadable": 1 }));
    let guard = &metrics(&d)["guard"];
    assert_eq!(guard["violations"], serde_json::json!({}), "{guard}");
    assert!(guard["closed"]["by_client"].as_u64() >= Some(1), "{guard}");
    assert!(guard["refused"].is_object(), "{guard}");
    d.signal("-USR1");
    assert!(d.wait_for_log("rules: ").contains("\"violations\":{}"));
}
