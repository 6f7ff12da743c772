//! `lilacbank cell`: checks a cell map, and tells who lives where.

use super::cli::{Cell, Format, How};
use super::{read, report, Done, ToolError};
use lilacbank_cells::placement::{home, Place};
use lilacbank_settings::cellmap::{CellMap, Read};
use std::path::Path;

/// Runs a command.
pub(super) fn run(command: Cell) -> Done {
    match command {
        Cell::Check { file, in_force, format } => {
            let force = in_force.map(|f| load(&f, format)).transpose()?;
            let map = check(&file, force.as_ref(), format)?;
            if format == Format::Text {
                println!("good: {} cells, {} dispatchers", map.cells.len(), map.dispatchers.len());
            }
            Ok(())
        }
        Cell::Place { file, tenants } => {
            let map = check(&file, None, Format::Text)?;
            for tenant in names(&tenants)? {
                let (cell, at) = lives(&map, &tenant);
                println!("{tenant} {cell} {at}");
            }
            Ok(())
        }
        Cell::Plan { old, new, tenants } => {
            let force = load(&old, Format::Text)?;
            let new = check(&new, Some(&force), Format::Text)?;
            let (mut moved, all) = (0, names(&tenants)?);
            for tenant in &all {
                let (a, b) = (lives(&force.map, tenant), lives(&new, tenant));
                if a != b {
                    moved += 1;
                    println!("{tenant} {} {} -> {} {}", a.0, a.1, b.0, b.1);
                }
            }
            println!("{moved} of {} move", all.len());
            Ok(())
        }
    }
}

fn load(file: &str, format: Format) -> Result<Read, ToolError> {
    let mut found = Vec::new();
    let map = Read::load(file, &|f| std::fs::read_to_string(f), &mut found);
    let map = map.map_err(|e| ToolError::File(file.into(), e))?;
    report(&found, &map.texts(), How { format, ..How::default() })?;
    Ok(map)
}

fn check(file: &str, force: Option<&Read>, format: Format) -> Result<CellMap, ToolError> {
    let mut found = Vec::new();
    let map = Read::load(file, &|f| std::fs::read_to_string(f), &mut found);
    let map = map.map_err(|e| ToolError::File(file.into(), e))?;
    found.extend(map.check(force));
    report(&found, &map.texts(), How { format, ..How::default() })?;
    Ok(map.map)
}

/// Tenants as they were given; @FILE names one in each line.
fn names(given: &[String]) -> Result<Vec<String>, ToolError> {
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

/// The cell of a tenant, and which of its dispatchers serves it.
fn lives(map: &CellMap, tenant: &str) -> (String, String) {
    let pinned = map.cells.iter().find(|(_, c)| c.tenants.iter().any(|t| t.0 == tenant));
    let places: Vec<Place> =
        map.cells.iter().map(|(name, c)| Place { name: name.0.clone(), weight: c.weight }).collect();
    let placed = || home(tenant, &places).and_then(|at| map.cells.iter().nth(at));
    let Some((name, cell)) = pinned.or_else(placed) else { return ("-".into(), "-".into()) };
    let at: Vec<Place> = cell.dispatchers.iter().map(|d| Place { name: d.0.clone(), weight: 1.0 }).collect();
    let dispatcher = home(tenant, &at).map_or("-".into(), |n| at[n].name.clone());
    (name.0.clone(), dispatcher)
}
