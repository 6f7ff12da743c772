//! The placement of tenants that the cell map does not pin, by weighted rendezvous hashing.
//!
//! Each cell gets a score for each tenant, computed from both names, and the tenant is placed in the cell
//! with the highest score. A new cell takes over exactly the tenants for which its score is the highest, a
//! part that corresponds to its weight; no other tenant moves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A candidate for a placement, with its weight relative to the other candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The name of the candidate.
    pub name: String,
    /// The weight; nothing is placed on a candidate of weight 0.
    pub weight: f64,
}

/// The score of a candidate for a tenant; the highest wins.
fn score(tenant: &str, place: &Candidate) -> f64 {
    // The length of the name distinguishes ("ab", "c") from ("a", "bc").
    let seed = xxh3_64_with_seed(place.name.as_bytes(), place.name.len() as u64);
    let hash = xxh3_64_with_seed(tenant.as_bytes(), seed);
    // Between 0 and 1, both excluded.
    let fraction = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -place.weight / fraction.ln()
}

/// The index of the tenant's place in the list; `None` if no place has a weight above 0.
pub fn place(tenant: &str, places: &[Candidate]) -> Option<usize> {
    ranked(tenant, places).next()
}

/// The `size` places with the highest scores for a tenant (shuffle sharding): two tenants rarely share all of
/// them.
pub fn shard(tenant: &str, places: &[Candidate], size: usize) -> Vec<usize> {
    ranked(tenant, places).take(size).collect()
}

fn ranked(tenant: &str, places: &[Candidate]) -> impl Iterator<Item = usize> {
    let scored = places.iter().enumerate().filter(|(_, p)| p.weight > 0.0);
    let mut scored: Vec<(f64, usize)> = scored.map(|(at, p)| (score(tenant, p), at)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|s| s.1)
}

/// A cell of the cell map.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlacedCell {
    /// The name of the cell.
    pub name: String,
    /// Its weight in the placement of tenants that are not pinned to a cell.
    pub weight: f64,
    /// Its dispatchers.
    pub dispatchers: Vec<String>,
    /// The tenants that are pinned to it.
    pub tenants: Vec<String>,
}

/// The cell of a tenant, and the dispatcher of that cell that serves it until an operator moves it.
pub fn place_tenant<'a>(areas: &'a [PlacedCell], tenant: &str) -> Option<(&'a str, &'a str)> {
    let pinned = areas.iter().find(|a| a.tenants.iter().any(|t| t == tenant));
    let places: Vec<Candidate> =
        areas.iter().map(|a| Candidate { name: a.name.clone(), weight: a.weight }).collect();
    let area = pinned.or_else(|| place(tenant, &places).map(|at| &areas[at]))?;
    let at: Vec<Candidate> =
        area.dispatchers.iter().map(|d| Candidate { name: d.clone(), weight: 1.0 }).collect();
    let dispatcher = place(tenant, &at)?;
    Some((&area.name, &area.dispatchers[dispatcher]))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn places(weights: &[f64]) -> Vec<Candidate> {
        weights.iter().enumerate().map(|(n, w)| Candidate { name: format!("cell-{n}"), weight: *w }).collect()
    }

    const TENANTS: usize = 20_000;

    fn homes(places: &[Candidate]) -> Vec<String> {
        let name = |n: usize| {
            place(&format!("tenant-{n}"), places).map_or(String::new(), |at| places[at].name.clone())
        };
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
}
