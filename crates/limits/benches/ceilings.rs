//! The cost of a decision (checking the room, then starting, writing and ending a call) with 10 and 10,000
//! destinations.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use lilacbank_limits::{DestinationLimit, RateLimiter, Scope};
use std::hint::black_box;

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for members in [10u64, 10_000] {
        let promise = |dest| DestinationLimit {
            name: format!("member-{dest}"),
            destination: dest,
            calls: Some(24),
            span: 2_000.0,
            max_travel: 50.0,
            scope: if dest % 5 == 0 { Scope::Destination } else { Scope::Endpoint },
            connections: Some(9),
        };
        let mut ceilings = RateLimiter::new((0..members).map(promise));
        let (mut now, mut dest) = (0.0, 0);
        group.bench_function(BenchmarkId::from_parameter(members), |b| {
            b.iter(|| {
                now += 0.5;
                dest = (dest + 7_919) % members;
                let room = ceilings.room(now, dest, "endpoint-1");
                if ceilings.start_call(now, dest, "endpoint-1").is_ok() {
                    ceilings.call_written(now, dest, "endpoint-1");
                    ceilings.call_ended(dest, "endpoint-1", true);
                }
                black_box((room, ceilings.take_changed(now)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
