//! Looks at folders, for the check and for the start; and whose a state folder is.

use lilacbank_settings::check::{Folder, Folders};
use std::io;
use std::path::Path;

/// The file in a state folder that names its application.
const OWNER: &str = "application";

/// This machine's disk.
#[derive(Debug, Clone, Copy)]
pub struct Disk;

impl Folders for Disk {
    fn look(&self, path: &str) -> Folder {
        let path = Path::new(path);
        match std::fs::metadata(path) {
            Ok(m) if !m.is_dir() => Folder::Impossible("it is not a folder".into()),
            Ok(_) => match (owner(path), is_writable(path)) {
                (Some(other), _) => Folder::Of(other),
                (None, true) => Folder::Good,
                (None, false) => Folder::ReadOnly,
            },
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                let whole = std::path::absolute(path).unwrap_or_else(|_| path.into());
                let above = whole.ancestors().find(|a| a.exists()).unwrap_or(Path::new("/"));
                match above.is_dir() && is_writable(above) {
                    true => Folder::Missing,
                    false => Folder::Impossible(format!("'{}' cannot take a new folder", above.display())),
                }
            }
            Err(e) => Folder::Impossible(e.to_string()),
        }
    }
}

/// Tries it: permissions alone do not tell.
fn is_writable(folder: &Path) -> bool {
    let probe = folder.join(format!(".lilacbank-{}", std::process::id()));
    let made = std::fs::write(&probe, "").is_ok();
    let _ = std::fs::remove_file(&probe);
    made
}

fn owner(folder: &Path) -> Option<String> {
    let text = std::fs::read_to_string(folder.join(OWNER)).ok()?;
    Some(text.trim().to_string()).filter(|t| !t.is_empty())
}

/// Takes a state folder for an application. Guards against two sidecars on one journal after a slip of the pen.
///
/// # Errors
///
/// Where the folder cannot be made or written to, or is another application's.
pub fn claim(folder: &Path, application: &str) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    match owner(folder) {
        Some(other) if other == application => Ok(()),
        Some(other) => {
            let why = format!("the folder '{}' is that of '{other}' (LB0604)", folder.display());
            Err(io::Error::new(io::ErrorKind::AlreadyExists, why))
        }
        None => std::fs::write(folder.join(OWNER), format!("{application}\n")),
    }
}

/// The file of a state folder that holds its life record (`crate::recovery`).
const LIFE: &str = "life";
/// Files of the dispatcher's that tell that a folder was used before.
const USED: [&str; 5] = ["journal", "journal.1", "down", "damaged", "journal.lock"];

/// What a start finds of the folder's lives, before it opens the journal (which makes files of its own).
pub fn look_at_life(folder: &Path) -> (Option<Option<crate::recovery::LifeRecord>>, bool) {
    let record = match std::fs::read_to_string(folder.join(LIFE)) {
        Ok(text) => Some(crate::recovery::LifeRecord::decode(&text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(_) => Some(None),
    };
    let others = USED.iter().any(|name| {
        std::fs::metadata(folder.join(name)).is_ok_and(|m| m.len() > 0 || name.ends_with("lock"))
    });
    (record, others)
}

/// Writes the life record whole or not at all: a second file, then its rename.
///
/// # Errors
///
/// Where the folder cannot be written to.
pub fn write_life(folder: &Path, record: &crate::recovery::LifeRecord) -> io::Result<()> {
    let fresh = folder.join(format!("{LIFE}.new"));
    std::fs::write(&fresh, record.encode())?;
    std::fs::rename(&fresh, folder.join(LIFE))
}
