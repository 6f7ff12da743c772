//! Benchmark that loads, checks together and renders 500 applications with 100 agreements.

use criterion::{criterion_group, criterion_main, Criterion};
use lilacbank_settings::check::{check, AssumeUsable};
use lilacbank_settings::render::render;
use lilacbank_settings::set::FileSet;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::hint::black_box;

/// Number of applications.
const APPLICATIONS: usize = 500;
/// Number of agreements.
const AGREEMENTS: usize = 100;
/// Number of destinations that each application uses.
const USES: usize = 8;

fn agreement(n: usize) -> String {
    let kind = if n % 5 == 0 { "high-volume" } else { "low-volume" };
    let mut t = format!(
        "member = \"member-{n}\"\ndestination = {n}\nkind = \"{kind}\"\nlimit = \"4000 in 2s\"\nconnections = 400\n\
         buildings = [\"a\", \"b\"]\n[classes.status]\nrepeats = \"harmless\"\n[classes.pay]\nrepeats = \"forbidden\"\n"
    );
    for e in 0..4 {
        let (building, port) = (["a", "b"][e % 2], 10_000 + n * 4 + e);
        let _ = write!(
            t,
            "[[endpoints]]\nid = \"m{n}-{e}\"\naddress = \"127.0.0.1:{port}\"\nbuilding = \"{building}\"\n"
        );
    }
    t
}

fn application(n: usize) -> String {
    let port = 20_000 + n;
    let mut t = format!(
        "application = \"app-{n}\"\nstate = \"/var/lib/lilacbank/app-{n}\"\nbuilding = \"a\"\nnotices = \"log\"\n\
         [listen]\nresp = \"127.0.0.1:{port}\"\n[tenants.t1]\n[classes.status]\nwanted = \"1s\"\ndeadline = \"8s\"\n\
         [classes.pay]\n"
    );
    for u in 0..USES {
        let member = (n * USES + u) % AGREEMENTS;
        let _ = write!(t, "[[uses]]\nagreement = \"m{member}.toml\"\nshare = \"2.5%\"\nconnections = 9\n");
    }
    t
}

fn load_check_and_render(c: &mut Criterion) {
    let mut files: HashMap<String, String> = HashMap::new();
    (0..AGREEMENTS).for_each(|n| drop(files.insert(format!("m{n}.toml"), agreement(n))));
    let names: Vec<String> = (0..APPLICATIONS).map(|n| format!("app-{n}.toml")).collect();
    names.iter().enumerate().for_each(|(n, name)| drop(files.insert(name.clone(), application(n))));
    let read = |f: &str| Ok(files[f].clone());
    c.bench_function("500 applications, 100 agreements", |b| {
        b.iter(|| {
            let mut found = Vec::new();
            let set = FileSet::load(&names, &read, &mut found);
            found.extend(check(&set, &AssumeUsable));
            assert!(found.is_empty(), "{found:?}");
            black_box(set.apps.iter().map(|a| render(&set, a)).collect::<Vec<_>>())
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = load_check_and_render
}
criterion_main!(benches);
