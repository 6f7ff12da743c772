//! Tests of the module `haproxy`.

use super::*;

#[test]
fn words_and_times_are_parsed_as_in_haproxy() {
    let read = words(r#"server a\ b "c # d" 'e"f' # rest"#).unwrap();
    assert_eq!(read, ["server", "a b", "c # d", "e\"f"]);
    assert!(words("log \"open").is_err());
    let times = ["250", "250ms", "3s", "1m", "500us", "x", "5y", ""].map(time);
    assert_eq!(times, [Some(250.0), Some(250.0), Some(3_000.0), Some(60_000.0), Some(0.5), None, None, None]);
}

#[test]
fn directives_are_mapped_or_reported_with_their_line() {
    let text = "\
global
  maxconn 500
  user haproxy
defaults
  mode http
  timeout connect 2s
  timeout server 30s
  timeout client 30s
  retries 3
frontend in
  bind *:8080
  default_backend pay
backend pay
  balance roundrobin
  option httpchk
  timeout server 10s
  default-server maxconn 5
  server p1 10.0.0.1:80 check weight 3
  server p2 10.0.0.2:80 maxconn 7
  server p3 pay.example:80
backend mail
  server m1 10.0.0.3:80
userlist u
  user x password y
";
    let (app, skipped) = import(text);
    let (c, slots) = (&app.settings.ceilings, app.settings.family_info.slots);
    assert_eq!((c.connect_timeout, c.max_open, c.most_tries, slots), (2_000.0, 500, 4, 12));
    assert_eq!((app.listen.as_deref(), c.probes), (Some("0.0.0.0:8080"), true));
    assert_eq!(app.settings.classes[0].deadline, 30_000.0);
    let targets = &app.known.targets;
    let endpoints: Vec<_> =
        targets.iter().map(|w| (w.uid.as_str(), w.endpoint.as_str(), w.pod_group)).collect();
    let wanted = [("pay/p1", "10.0.0.1:80", 1), ("pay/p2", "10.0.0.2:80", 1), ("mail/m1", "10.0.0.3:80", 2)];
    assert_eq!(endpoints, wanted);
    let lines: Vec<usize> = skipped.iter().map(|s| s.line).collect();
    assert_eq!(lines, [3, 5, 8, 12, 14, 16, 18, 20, 23, 24], "{skipped:?}");
    let read = crate::config::Config::from_json(&app.to_json(), &|_| None).unwrap();
    assert_eq!((read.initial_endpoints.endpoints.len(), read.settings.slots), (3, 12));
}
