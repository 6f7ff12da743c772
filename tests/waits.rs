//! Retry-afters across an upgrade: one that either process receives binds both, since the endpoint gave it to
//! the dispatcher.

mod stand;
use stand::*;
use std::time::{Duration, Instant};

const REFUSED: &str = "429 Too Many Requests\r\nRetry-After: 1.5";
/// The retry-after in [`REFUSED`].
const WAIT: Duration = Duration::from_millis(1_500);
/// Calls that arrive this soon after the refusal may have been under way already, and are permitted.
const IN_FLIGHT: Duration = Duration::from_millis(100);

/// Calls that arrived within the retry-after of the very first call, but later than [`IN_FLIGHT`] after it.
fn calls_within_wait(endpoint: &EndpointStandIn) -> Vec<(String, Duration)> {
    let calls = endpoint.calls.lock().unwrap();
    let refused_at = calls[0].at;
    let since = |at: Instant| at.duration_since(refused_at);
    let early = calls.iter().filter(|c| since(c.at) > IN_FLIGHT && since(c.at) < WAIT);
    early.map(|c| (c.header("x-txn").to_string(), since(c.at))).collect()
}

/// Guards against the new process of an upgrade calling an endpoint within the retry-after that the old
/// process received.
#[test]
fn a_retry_after_received_by_the_old_process_binds_the_new_one_of_an_upgrade() {
    let endpoint = EndpointStandIn::start(|_, nth| Reply::Answer(if nth == 0 { REFUSED } else { "200 OK" }));
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let old = site.start();
    assert_eq!(old.client().submit("first", "c=pay,t=acme,d=15000,dest=1"), "+OK");
    wait_until("the first call is refused", || endpoint.call_count() >= 1);
    std::thread::sleep(Duration::from_millis(30));
    let new = site.start();
    old.signal("-TERM");
    let mut client = new.client();
    for n in 0..5 {
        assert_eq!(client.submit(&format!("n{n}"), "c=pay,t=acme,d=15000,dest=1"), "+OK");
    }
    wait_until("all are delivered", || endpoint.call_count() >= 7);
    assert_eq!(calls_within_wait(&endpoint), [], "calls within the retry-after");
}

/// Guards against the reverse: the new process receives the retry-after while the old one still serves.
#[test]
fn a_retry_after_received_by_the_new_process_of_an_upgrade_binds_the_old_one() {
    let endpoint = EndpointStandIn::start(|_, nth| Reply::Answer(if nth == 0 { REFUSED } else { "200 OK" }));
    let site =
        TestInstallation::new(&[list_entry("w1", &endpoint.address.to_string(), "a", 1, "in_service")]);
    let old = site.start();
    let mut old_client = old.client();
    let new = site.start();
    assert_eq!(new.client().submit("first", "c=pay,t=acme,d=15000,dest=1"), "+OK");
    wait_until("the first call is refused", || endpoint.call_count() >= 1);
    std::thread::sleep(IN_FLIGHT);
    for n in 0..5 {
        assert_eq!(old_client.submit(&format!("o{n}"), "c=pay,t=acme,d=15000,dest=1"), "+OK");
    }
    wait_until("all are delivered", || endpoint.call_count() >= 7);
    assert_eq!(calls_within_wait(&endpoint), [], "calls within the retry-after");
}
