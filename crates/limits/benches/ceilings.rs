//! The cost of a decision (checking the room, then starting, writing and ending a call) with 10 and 10,000
//! destinations.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use lilacbank_limits::{Ceilings, Promise, Scope};
use std::hint::black_box;

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for members in [10u64, 10_000] {
        let promise = |dest| Promise {
            member: format!("member-{dest}"),
            dest,
            calls: Some(24),
            span: 2_000.0,
            travel: 50.0,
            scope: if dest % 5 == 0 { Scope::Member } else { Scope::Endpoint },
            connections: Some(9),
        };
        let mut ceilings = Ceilings::new((0..members).map(promise));
        let (mut now, mut dest) = (0.0, 0);
        group.bench_function(BenchmarkId::from_parameter(members), |b| {
            b.iter(|| {
                now += 0.5;
                dest = (dest + 7_919) % members;
                let room = ceilings.room(now, dest, "endpoint-1");
                if ceilings.take(now, dest, "endpoint-1").is_ok() {
                    ceilings.written(now, dest, "endpoint-1");
                    ceilings.ended(dest, "endpoint-1", true);
                }
                black_box((room, ceilings.changed(now)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
