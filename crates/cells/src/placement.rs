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
mod tests;
