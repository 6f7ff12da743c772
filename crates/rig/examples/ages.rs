//! Measures starts with cached endpoint lists from 0 s to 1 h old, and with empty state folders, while the registry is unreachable.
//! Prints the delivered share over the first eight seconds and plots it over time.
//!
//! `cargo run --release -p lilacbank-rig --example ages -- target/release/lilacbank docs/design/together-ages.svg`

use lilacbank_rig::report::Report;
use lilacbank_rig::scenario::Scenario;
use plotters::prelude::*;
use std::path::Path;

/// When the dispatchers are started again, in milliseconds from the start of the load.
const START_MS: u64 = 5_000;
/// Duration of the load in milliseconds.
const RUN_MS: u64 = 13_000;

/// A scenario in which the registry stops answering, and five dispatchers get SIGKILL at once and are started again. Their clocks
/// are then ahead by `clock_ms`, so that their cached endpoint lists appear that old; without it their state folders are removed.
fn scenario(clock_ms: Option<u64>) -> String {
    let all = "[0, 1, 2, 3, 4]";
    let restart = match clock_ms {
        Some(ms) => format!("start = {all}\nclock_ms = {ms}\n"),
        None => format!("wipe = {all}\nstart = {all}\n"),
    };
    format!(
        "seed = 3\ndispatchers = 5\nrun_ms = {RUN_MS}\nrecovery = true\n\
         [member]\nservice_ms = 5\nat_once = 32\nqueue = 256\n\
         [load]\nper_second = 20\nclasses = [\"safe\", \"pay\"]\n\
         [[at]]\nms = 4000\nfault = \"blackhole\"\npath = \"registry\"\n\
         [[at]]\nms = 4100\nkill = {all}\n[[at]]\nms = {START_MS}\n{restart}"
    )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let (Some(program), Some(svg)) = (args.next(), args.next()) else {
        return Err("usage: ages PROGRAM SVG".into());
    };
    let cases = [
        ("0 s", Some(0)),
        ("10 s", Some(10_000)),
        ("1 min", Some(60_000)),
        ("5 min", Some(300_000)),
        ("1 h", Some(3_600_000)),
        ("empty", None),
    ];
    let mut reports: Vec<(&str, Report)> = Vec::new();
    for (name, clock_ms) in cases {
        let scenario = Scenario::parse(name, &scenario(clock_ms))?;
        let report =
            lilacbank_rig::run::run_scenario(&scenario, Path::new(&program), &std::env::temp_dir(), false)?;
        let from = (START_MS / 500) as usize;
        let after = &report.share[from..];
        let mean = after.iter().sum::<f64>() / after.len() as f64;
        println!(
            "{name}: delivered share {mean:.3} over {} s, first delivery {:?} ms, lost {}, doubled {}",
            (RUN_MS - START_MS) / 1_000,
            report.first_delivery_ms,
            report.lost.len(),
            report.doubled.len()
        );
        reports.push((name, report));
    }
    let root = SVGBackend::new(&svg, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "delivered share by age of the cached endpoint list, registry unreachable",
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..RUN_MS as f64 / 1_000.0, 0.0..1.05)?;
    chart.configure_mesh().x_desc("s (killed at 4.1, started at 5.0)").draw()?;
    for (n, (name, report)) in reports.iter().enumerate() {
        let line = report.share.iter().enumerate().map(|(b, s)| (b as f64 / 2.0, *s));
        let color = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
