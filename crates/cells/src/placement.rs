//! Where a tenant lives that nobody pinned: by weighted rendezvous hashing.
//!
//! Each cell draws a number for each tenant from both names, and the tenant lives where the best one is drawn. A new cell
//! takes over exactly those for whom it draws better than all others, which is its part of the weight; nobody else moves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A name that is drawn for, and its part of what there is beside those of the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its weight; nothing lives at one of 0.
    pub weight: f64,
}

/// The number that a place draws for a tenant; the highest wins.
fn draw(tenant: &str, place: &Place) -> f64 {
    // The length of the first keeps ("ab", "c") and ("a", "bc") apart.
    let seed = xxh3_64_with_seed(place.name.as_bytes(), place.name.len() as u64);
    let hash = xxh3_64_with_seed(tenant.as_bytes(), seed);
    // Between 0 and 1, neither of them.
    let part = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -place.weight / part.ln()
}

/// Where the tenant lives, by its place in the list; `None` where nothing can live anywhere.
pub fn home(tenant: &str, places: &[Place]) -> Option<usize> {
    ranked(tenant, places).next()
}

/// The first so many places of a tenant (shuffle sharding): two tenants hardly ever share all of them.
pub fn shard(tenant: &str, places: &[Place], size: usize) -> Vec<usize> {
    ranked(tenant, places).take(size).collect()
}

fn ranked(tenant: &str, places: &[Place]) -> impl Iterator<Item = usize> {
    let drawn = places.iter().enumerate().filter(|(_, p)| p.weight > 0.0);
    let mut drawn: Vec<(f64, usize)> = drawn.map(|(at, p)| (draw(tenant, p), at)).collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    drawn.into_iter().map(|d| d.1)
}

/// A cell as the map has it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Area {
    /// Its name.
    pub name: String,
    /// Its part of the tenants that no cell names.
    pub weight: f64,
    /// Its dispatchers.
    pub dispatchers: Vec<String>,
    /// Tenants that live there.
    pub tenants: Vec<String>,
}

/// The cell of a tenant, and the one of its dispatchers that serves it before anybody has moved it.
pub fn lives<'a>(areas: &'a [Area], tenant: &str) -> Option<(&'a str, &'a str)> {
    let pinned = areas.iter().find(|a| a.tenants.iter().any(|t| t == tenant));
    let places: Vec<Place> = areas.iter().map(|a| Place { name: a.name.clone(), weight: a.weight }).collect();
    let area = pinned.or_else(|| home(tenant, &places).map(|at| &areas[at]))?;
    let at: Vec<Place> = area.dispatchers.iter().map(|d| Place { name: d.clone(), weight: 1.0 }).collect();
    let dispatcher = home(tenant, &at)?;
    Some((&area.name, &area.dispatchers[dispatcher]))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn places(weights: &[f64]) -> Vec<Place> {
        weights.iter().enumerate().map(|(n, w)| Place { name: format!("cell-{n}"), weight: *w }).collect()
    }

    const TENANTS: usize = 20_000;

    fn homes(places: &[Place]) -> Vec<String> {
        let name = |n: usize| {
            home(&format!("tenant-{n}"), places).map_or(String::new(), |at| places[at].name.clone())
        };
        (0..TENANTS).map(name).collect()
    }

    /// Guards against a map change that moves those whom it does not concern.
    #[test]
    fn a_new_cell_takes_its_part_and_moves_nobody_else() {
        let old = places(&[1.0; 10]);
        let new = places(&[1.0; 11]);
        let (a, b) = (homes(&old), homes(&new));
        let moved: Vec<usize> = (0..TENANTS).filter(|n| a[*n] != b[*n]).collect();
        assert!(moved.iter().all(|n| b[*n] == "cell-10"));
        let part = moved.len() as f64 / TENANTS as f64;
        assert!((part - 1.0 / 11.0).abs() < 0.01, "{part}");
        // The order of the list says nothing.
        let turned: Vec<Place> = old.iter().rev().cloned().collect();
        assert_eq!(homes(&turned), a);
    }

    #[test]
    fn weights_are_parts_and_nothing_lives_at_none() {
        let all = homes(&places(&[1.0, 3.0, 0.0]));
        let part = |name: &str| all.iter().filter(|h| *h == name).count() as f64 / TENANTS as f64;
        assert!((part("cell-0") - 0.25).abs() < 0.015 && part("cell-2") == 0.0, "{}", part("cell-0"));
        assert_eq!(home("t", &places(&[0.0])), None);
        assert_eq!(shard("t", &places(&[1.0, 1.0, 0.0]), 5).len(), 2);
    }
}
