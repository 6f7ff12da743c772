//! Tests of the module `placement`.

use super::*;

fn places(weights: &[f64]) -> Vec<Candidate> {
    weights.iter().enumerate().map(|(n, w)| Candidate { name: format!("cell-{n}"), weight: *w }).collect()
}

const TENANTS: usize = 20_000;

fn homes(places: &[Candidate]) -> Vec<String> {
    let name =
        |n: usize| place(&format!("tenant-{n}"), places).map_or(String::new(), |at| places[at].name.clone());
    (0..TENANTS).map(name).collect()
}

/// Guards against a change of the cell map that moves tenants without need.
#[test]
fn a_new_cell_takes_its_share_and_moves_no_other_tenant() {
    let old = places(&[1.0; 10]);
    let new = places(&[1.0; 11]);
    let (a, b) = (homes(&old), homes(&new));
    let moved: Vec<usize> = (0..TENANTS).filter(|n| a[*n] != b[*n]).collect();
    assert!(moved.iter().all(|n| b[*n] == "cell-10"));
    let share = moved.len() as f64 / TENANTS as f64;
    assert!((share - 1.0 / 11.0).abs() < 0.01, "{share}");
    // The order of the list does not matter.
    let reversed: Vec<Candidate> = old.iter().rev().cloned().collect();
    assert_eq!(homes(&reversed), a);
}

#[test]
fn shares_follow_the_weights_and_weight_zero_gets_nothing() {
    let all = homes(&places(&[1.0, 3.0, 0.0]));
    let share = |name: &str| all.iter().filter(|h| *h == name).count() as f64 / TENANTS as f64;
    assert!((share("cell-0") - 0.25).abs() < 0.015 && share("cell-2") == 0.0, "{}", share("cell-0"));
    assert_eq!(place("t", &places(&[0.0])), None);
    assert_eq!(shard("t", &places(&[1.0, 1.0, 0.0]), 5).len(), 2);
}
