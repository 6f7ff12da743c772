//! Measures how many tenants are affected by a few harmful ones, and how many move when the cell map changes,
//! at a size that real sockets do not allow: `cargo run --release -p lilacbank-cells --example blast --
//! docs/design/cells-blast.svg`

use lilacbank_cells::placement::{place, shard, Candidate};
use plotters::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

const TENANTS: usize = 10_000;
const CELLS: usize = 100;
/// Places per tenant with shuffle sharding: a tenant is affected if all of them are.
const SHARDS: usize = 2;
const HARMFUL_TENANTS: [usize; 4] = [0, 1, 5, 10];

fn places(n: usize) -> Vec<Candidate> {
    (0..n).map(|c| Candidate { name: format!("cell-{c}"), weight: 1.0 }).collect()
}

fn name(t: usize) -> String {
    format!("tenant-{t}")
}

/// The share of tenants all of whose places are affected by the first `harmful` tenants.
fn affected_share(homes: &[Vec<usize>], cells: usize, harmful: usize) -> f64 {
    let mut affected_cells = vec![false; cells];
    homes[..harmful].iter().flatten().for_each(|c| affected_cells[*c] = true);
    let hit = homes.iter().filter(|h| h.iter().all(|c| affected_cells[*c])).count();
    hit as f64 / homes.len() as f64
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (now, more) = (places(CELLS), places(CELLS + 1));
    let plain = |cells: usize| -> Vec<Vec<usize>> {
        (0..TENANTS).map(|t| vec![(xxh3_64(name(t).as_bytes()) % cells as u64) as usize]).collect()
    };
    let cells = |at: &[Candidate]| -> Vec<Vec<usize>> {
        (0..TENANTS).map(|t| place(&name(t), at).into_iter().collect()).collect()
    };
    let shuffled =
        |at: &[Candidate]| -> Vec<Vec<usize>> { (0..TENANTS).map(|t| shard(&name(t), at, SHARDS)).collect() };
    let all: Vec<Vec<usize>> = vec![vec![0]; TENANTS];
    let placements = [
        ("no cells", all.clone(), all, 1),
        ("plain hashing", plain(CELLS), plain(CELLS + 1), CELLS),
        ("cells by rendezvous", cells(&now), cells(&more), CELLS),
        ("shuffle sharding, 2 of 100", shuffled(&now), shuffled(&more), CELLS),
    ];
    println!("| placement | 1 harmful | 5 | 10 | moved by one more cell |\n| --- | --- | --- | --- | --- |");
    let mut lines = Vec::new();
    for (what, homes, changed, n) in &placements {
        let hit: Vec<f64> = HARMFUL_TENANTS.iter().map(|p| 100.0 * affected_share(homes, *n, *p)).collect();
        let moved = homes.iter().zip(changed).filter(|(a, b)| a != b).count() as f64 * 100.0 / TENANTS as f64;
        println!("| {what} | {:.2}% | {:.2}% | {:.2}% | {moved:.2}% |", hit[1], hit[2], hit[3]);
        lines.push((*what, hit));
    }
    let Some(path) = std::env::args().nth(1) else { return Ok(()) };
    let root = SVGBackend::new(&path, (760, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Affected tenants, in per cent (log)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..10.0, (0.01..100.0).log_scale())?;
    chart.configure_mesh().x_desc("harmful tenants of 10,000 in 100 cells").draw()?;
    for (i, (what, hit)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).mix(1.0);
        let points = HARMFUL_TENANTS.iter().zip(hit).skip(1).map(|(p, h)| (*p as f64, h.max(0.01)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(*what)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
