//! `lilacbank cell`: checks cell maps, shows the placement of tenants, and starts moves.

use super::cli::{Cell, Format, ReportOptions};
use super::{moves, read, report, ToolError, ToolResult};
use lilacbank_cells::placement::{place_tenant, PlacedCell};
use lilacbank_settings::cellmap::{CellMap, Dispatcher, LoadedMap};
use lilacbank_settings::units::Name;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Runs a `cell` command.
pub(super) fn run(command: Cell) -> ToolResult {
    match command {
        Cell::Check { file, in_force, format } => {
            let in_force = in_force.map(|f| load(&f, format)).transpose()?;
            let map = check(&file, in_force.as_ref(), format)?;
            if format == Format::Text {
                println!("good: {} cells, {} dispatchers", map.cells.len(), map.dispatchers.len());
            }
            Ok(())
        }
        Cell::Place { file, tenants } => {
            let map = check(&file, None, Format::Text)?;
            let placement_areas = placement_areas(&map);
            for tenant in read_tenants(&tenants)? {
                let (cell, at) = placement_of(&placement_areas, &tenant);
                println!("{tenant} {cell} {at}");
            }
            Ok(())
        }
        Cell::Plan { old, new, tenants } => {
            let in_force = load(&old, Format::Text)?;
            let new = check(&new, Some(&in_force), Format::Text)?;
            let (mut moved, all) = (0, read_tenants(&tenants)?);
            let (in_force, new) = (placement_areas(&in_force.map), placement_areas(&new));
            for tenant in &all {
                let (a, b) = (placement_of(&in_force, tenant), placement_of(&new, tenant));
                if a != b {
                    moved += 1;
                    println!("{tenant} {} {} -> {} {}", a.0, a.1, b.0, b.1);
                }
            }
            println!("{moved} of {} move", all.len());
            Ok(())
        }
        Cell::Status { map, tenant, format } => {
            moves::status(&peers(&map)?, tenant.as_deref().unwrap_or(""), format)
        }
        Cell::Move { map, tenant, to, wait } => {
            moves::start(&peers(&map)?, &tenant, &to, Duration::from_secs(wait))
        }
        Cell::Abort { map, tenant } => moves::abort(&peers(&map)?, &tenant),
        Cell::Reclaim { map, tenant, gone } => moves::reclaim(&peers(&map)?, &tenant, &gone),
    }
}

/// The dispatchers of a map with their addresses for peers.
fn peers(file: &str) -> Result<Vec<(String, SocketAddr)>, ToolError> {
    let map = check(file, None, Format::Text)?;
    let at = |(name, d): (&Name, &Dispatcher)| Some((name.0.clone(), d.peer?.0));
    Ok(map.dispatchers.iter().filter_map(at).collect())
}

/// Loads a map without checking it.
fn load(file: &str, format: Format) -> Result<LoadedMap, ToolError> {
    let mut findings = Vec::new();
    let map = LoadedMap::load(file, &|f| std::fs::read_to_string(f), &mut findings);
    let map = map.map_err(|e| ToolError::File(file.into(), e))?;
    report(&findings, &map.texts(), ReportOptions { format, ..ReportOptions::default() })?;
    Ok(map)
}

/// Loads a map and checks it, also as a successor of `in_force`.
fn check(file: &str, in_force: Option<&LoadedMap>, format: Format) -> Result<CellMap, ToolError> {
    let mut findings = Vec::new();
    let map = LoadedMap::load(file, &|f| std::fs::read_to_string(f), &mut findings);
    let map = map.map_err(|e| ToolError::File(file.into(), e))?;
    findings.extend(map.check(in_force));
    report(&findings, &map.texts(), ReportOptions { format, ..ReportOptions::default() })?;
    Ok(map.map)
}

/// Names of tenants from the command line; @FILE is replaced by the lines of a file.
fn read_tenants(given: &[String]) -> Result<Vec<String>, ToolError> {
    let mut all = Vec::new();
    for name in given {
        match name.strip_prefix('@') {
            Some(file) => {
                let text = read(Path::new(file))?;
                all.extend(text.lines().map(str::trim).filter(|l| !l.is_empty()).map(String::from));
            }
            None => all.push(name.clone()),
        }
    }
    Ok(all)
}

/// The cells of a map in the form that placement needs.
fn placement_areas(map: &CellMap) -> Vec<PlacedCell> {
    let texts = |names: &[Name]| names.iter().map(|n| n.0.clone()).collect();
    let area = |(name, c): (&Name, &lilacbank_settings::cellmap::Cell)| PlacedCell {
        name: name.0.clone(),
        weight: c.weight,
        dispatchers: texts(&c.dispatchers),
        tenants: texts(&c.tenants),
    };
    map.cells.iter().map(area).collect()
}

/// The cell in which a tenant is placed, and the dispatcher there that serves it.
fn placement_of(placement_areas: &[PlacedCell], tenant: &str) -> (String, String) {
    place_tenant(placement_areas, tenant)
        .map_or(("-".into(), "-".into()), |(cell, at)| (cell.into(), at.into()))
}
