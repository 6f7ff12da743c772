//! Tests of the module `arrivals`.

use super::*;

fn stream(rate: f64) -> Stream {
    let (from, until) = (Duration::ZERO, Duration::from_secs(100));
    let (wanted, deadline) = (Duration::from_secs(1), Duration::from_secs(8));
    Stream {
        tenant: "t".into(),
        class: "c".into(),
        destination: 1,
        messages_per_second: rate,
        from,
        until,
        full_worth_within: wanted,
        deadline,
    }
}

/// Guards against a flood stream that changes the arrival times of other streams: runs with and without it could not be
/// compared.
#[test]
fn a_seed_gives_the_same_times_whichever_other_streams_exist() {
    let alone = poisson_arrivals(7, &[stream(20.0)]);
    let both = poisson_arrivals(7, &[stream(20.0), stream(200.0)]);
    assert_eq!(alone, both.iter().filter(|i| i.stream_index == 0).copied().collect::<Vec<_>>());
    assert!((1_800..2_200).contains(&alone.len()), "{}", alone.len());
    assert_ne!(alone, poisson_arrivals(8, &[stream(20.0)]));
    assert_eq!(PlannedMessage::parse_id(&both[9].id(2)), Some((both[9].stream_index, both[9].index)));
}
