//! Tests of the module `units`.

use super::*;

/// Guards against a unit that is guessed when missing, dropped, or changed by formatting.
#[test]
fn units_survive_parsing_and_formatting() {
    let span = |t: &str| t.parse::<Span>().map(|s| (s.0, s.to_string()));
    assert_eq!(span("1500ms"), Ok((1_500.0, "1500ms".into())));
    assert_eq!(span("2.5s"), Ok((2_500.0, "2500ms".into())));
    assert_eq!(span("120s"), Ok((120_000.0, "2min".into())));
    assert!(["2", "s", "-1s", "2 weeks", "9999d", "1e9s"].iter().all(|t| span(t).is_err()));
    let size = |t: &str| t.parse::<Size>().map(|s| (s.0, s.to_string()));
    assert_eq!(size("64KiB"), Ok((65_536, "64KiB".into())));
    assert_eq!(size("3MB"), Ok((3_000_000, "3MB".into())));
    assert!(["64", "64K", "9999999GB"].iter().all(|t| size(t).is_err()));
    let limit = |t: &str| t.parse::<Limit>().map(|l| (l.calls, l.span.0));
    assert_eq!(limit("24 in 2s"), Ok((24, 2_000.0)));
    assert_eq!(limit("2.4/s"), Ok((12, 5_000.0)));
    assert_eq!(limit("90/min"), Ok((90, 60_000.0)));
    assert!(["0/s", "0 in 2s", "5", "x/s", "2.4444/s", "5 in 0s"].iter().all(|t| limit(t).is_err()));
    assert_eq!("12/s".parse::<Limit>().unwrap().to_string(), "12 in 1s");
}

/// Guards against rounding that makes three thirds add up to more or less than the whole.
#[test]
fn shares_add_up_exactly() {
    let share = |t: &str| t.parse::<Share>();
    let thirds: u32 = ["33.3333%", "33.3333%", "33.3334%"].iter().map(|t| share(t).unwrap().0).sum();
    assert_eq!(thirds, WHOLE_MILLIONTHS);
    assert_eq!((share("40%").unwrap().of_calls(24), share("40%").unwrap().to_string()), (9, "40%".into()));
    assert!(["101%", "40", "33.33333%", "-1%", "%%"].iter().all(|t| share(t).is_err()), "{:?}", share("%%"));
}

#[test]
fn names_and_addresses_are_validated() {
    assert!(["a", "0-x_y.z"].iter().all(|t| t.parse::<Name>().is_ok()));
    assert!(["", "A", "-a", "a b"].iter().all(|t| t.parse::<Name>().is_err()));
    let target = |t: &str| t.parse::<Target>().map(|t| t.to_string());
    assert_eq!(target("mqtt://127.0.0.1:1/a/b"), Ok("mqtt://127.0.0.1:1/a/b".into()));
    assert!(["mqtt://127.0.0.1:1", "mqtt://h:1/a", "mqtt://127.0.0.1:1/#", "host:1"]
        .iter()
        .all(|t| target(t).is_err()));
}
