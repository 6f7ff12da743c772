//! `lilacbank cell`: checks a cell map, and tells who lives where.

use super::cli::{Cell, Format, ReportOptions};
use super::{moves, read, report, ToolError, ToolResult};
use lilacbank_cells::placement::{lives, Area};
use lilacbank_settings::cellmap::{CellMap, Dispatcher, LoadedMap};
use lilacbank_settings::units::Name;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Runs a command.
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
            let areas = areas(&map);
            for tenant in read_tenants(&tenants)? {
                let (cell, at) = home_of(&areas, &tenant);
                println!("{tenant} {cell} {at}");
            }
            Ok(())
        }
        Cell::Plan { old, new, tenants } => {
            let in_force = load(&old, Format::Text)?;
            let new = check(&new, Some(&in_force), Format::Text)?;
            let (mut moved, all) = (0, read_tenants(&tenants)?);
            let (in_force, new) = (areas(&in_force.map), areas(&new));
            for tenant in &all {
                let (a, b) = (home_of(&in_force, tenant), home_of(&new, tenant));
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

/// The dispatchers of a map, and where each is reached.
fn peers(file: &str) -> Result<Vec<(String, SocketAddr)>, ToolError> {
    let map = check(file, None, Format::Text)?;
    let at = |(name, d): (&Name, &Dispatcher)| Some((name.0.clone(), d.peer?.0));
    Ok(map.dispatchers.iter().filter_map(at).collect())
}

fn load(file: &str, format: Format) -> Result<LoadedMap, ToolError> {
    let mut found = Vec::new();
    let map = LoadedMap::load(file, &|f| std::fs::read_to_string(f), &mut found);
    let map = map.map_err(|e| ToolError::File(file.into(), e))?;
    report(&found, &map.texts(), ReportOptions { format, ..ReportOptions::default() })?;
    Ok(map)
}

fn check(file: &str, in_force: Option<&LoadedMap>, format: Format) -> Result<CellMap, ToolError> {
    let mut found = Vec::new();
    let map = LoadedMap::load(file, &|f| std::fs::read_to_string(f), &mut found);
    let map = map.map_err(|e| ToolError::File(file.into(), e))?;
    found.extend(map.check(in_force));
    report(&found, &map.texts(), ReportOptions { format, ..ReportOptions::default() })?;
    Ok(map.map)
}

/// Tenants as they were given; @FILE names one in each line.
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

/// The cells as placement wants them.
fn areas(map: &CellMap) -> Vec<Area> {
    let texts = |names: &[Name]| names.iter().map(|n| n.0.clone()).collect();
    let area = |(name, c): (&Name, &lilacbank_settings::cellmap::Cell)| Area {
        name: name.0.clone(),
        weight: c.weight,
        dispatchers: texts(&c.dispatchers),
        tenants: texts(&c.tenants),
    };
    map.cells.iter().map(area).collect()
}

/// The cell of a tenant, and which of its dispatchers serves it.
fn home_of(areas: &[Area], tenant: &str) -> (String, String) {
    lives(areas, tenant).map_or(("-".into(), "-".into()), |(cell, at)| (cell.into(), at.into()))
}
