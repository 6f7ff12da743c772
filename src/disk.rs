//! Access to the files of a state folder apart from the journal: its owner, its life record and the cached
//! endpoint list. Also inspects folders for the configuration check.

use lilacbank_settings::check::{FolderInspector, FolderState};
use std::io::{self, Write};
use std::path::Path;

/// The file in a state folder that names the application it belongs to.
const OWNER: &str = "application";

/// The file system of this machine.
#[derive(Debug, Clone, Copy)]
pub struct Disk;

impl FolderInspector for Disk {
    fn inspect(&self, path: &str) -> FolderState {
        let path = Path::new(path);
        match std::fs::metadata(path) {
            Ok(m) if !m.is_dir() => FolderState::Unusable("it is not a folder".into()),
            Ok(_) => match (owner(path).ok().flatten(), is_writable(path)) {
                (Some(other), _) => FolderState::OwnedBy(other),
                (None, true) => FolderState::Usable,
                (None, false) => FolderState::ReadOnly,
            },
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                let absolute = std::path::absolute(path).unwrap_or_else(|_| path.into());
                let parent = absolute.ancestors().find(|a| a.exists()).unwrap_or(Path::new("/"));
                match parent.is_dir() && is_writable(parent) {
                    true => FolderState::Missing,
                    false => {
                        FolderState::Unusable(format!("'{}' cannot take a new folder", parent.display()))
                    }
                }
            }
            Err(e) => FolderState::Unusable(e.to_string()),
        }
    }
}

/// Whether a file can be created in the folder. Creates one, since permissions alone do not show it.
fn is_writable(folder: &Path) -> bool {
    let probe = folder.join(format!(".lilacbank-{}", std::process::id()));
    let made = std::fs::write(&probe, "").is_ok();
    let _ = std::fs::remove_file(&probe);
    made
}

fn owner(folder: &Path) -> io::Result<Option<String>> {
    match std::fs::read_to_string(folder.join(OWNER)) {
        Ok(text) => Ok(Some(text.trim().to_string()).filter(|t| !t.is_empty())),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Claims a state folder for an application, so that a mistake in a configuration cannot put the sidecars of
/// two applications on one journal.
///
/// # Errors
///
/// The folder cannot be created or written to, or belongs to another application.
pub fn claim(folder: &Path, application: &str) -> io::Result<()> {
    make_folder(folder)?;
    match owner(folder)? {
        Some(other) if other == application => Ok(()),
        Some(other) => {
            let why = format!("the folder '{}' belongs to application '{other}' (LB0604)", folder.display());
            Err(io::Error::new(io::ErrorKind::AlreadyExists, why))
        }
        None => std::fs::write(folder.join(OWNER), format!("{application}\n")),
    }
}

/// The file of a state folder that holds its life record (`crate::recovery`).
const LIFE_FILE: &str = "life";
/// Files of the dispatcher that show that a folder was used before.
const USED_FOLDER_FILES: [&str; 5] = ["journal", "journal.1", "down", "damaged", "journal.lock"];

/// The life record of a folder (`None`: no file; `Some(None)`: it is malformed), and whether the folder holds
/// other files of the dispatcher.
pub type FolderHistory = (Option<Option<crate::recovery::IncarnationRecord>>, bool);

/// Reads the folder's life record and checks for other files. Must run before the journal is opened, which
/// creates files of its own.
///
/// # Errors
///
/// A file cannot be read now, which says nothing about its content.
pub fn read_life_record(folder: &Path) -> io::Result<FolderHistory> {
    let record = match std::fs::read(folder.join(LIFE_FILE)) {
        Ok(bytes) => {
            Some(std::str::from_utf8(&bytes).ok().and_then(crate::recovery::IncarnationRecord::decode))
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let mut others = false;
    for name in USED_FOLDER_FILES {
        others |= shows_use(&folder.join(name))?;
    }
    Ok((record, others))
}

/// Whether the file shows that a process has used its folder: it is a lock file or is not empty.
fn shows_use(path: &Path) -> io::Result<bool> {
    let is_lock = path.extension().is_some_and(|e| e == "lock");
    match std::fs::metadata(path) {
        Ok(about) => Ok(about.len() > 0 || is_lock),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(e) => Err(e),
    }
}

/// Creates the folder if it does not exist. If it exists but its metadata cannot be read, that error is
/// returned: it may be transient, while `AlreadyExists` would count as permanent.
///
/// # Errors
///
/// The folder cannot be created or inspected, or the path is not a folder.
pub fn make_folder(folder: &Path) -> io::Result<()> {
    match std::fs::create_dir_all(folder) {
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => match std::fs::metadata(folder) {
            Ok(about) if about.is_dir() => Ok(()),
            Ok(_) => Err(e),
            Err(inspect_error) => Err(inspect_error),
        },
        done => done,
    }
}

/// Whether the error is transient, so that the operation may succeed later: the disk may be full or fail for
/// a while, or the process may be short of file descriptors.
pub fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    /// Linux error numbers without an `ErrorKind` of their own: EIO, ENFILE, EMFILE, ENOLCK and ENOBUFS.
    const TRANSIENT_ERRNOS: [i32; 5] = [5, 23, 24, 37, 105];
    matches!(
        error.kind(),
        StorageFull | QuotaExceeded | Interrupted | ResourceBusy | OutOfMemory | StaleNetworkFileHandle
    ) || error.raw_os_error().is_some_and(|n| TRANSIENT_ERRNOS.contains(&n))
}

/// Overwrites the life record in place with one write of less than a page, which a kill does not split.
/// Writing a second file and renaming it would be slower: some file systems then wait for the disk, which
/// delays the start.
///
/// # Errors
///
/// The folder cannot be written to.
pub fn write_life_record(folder: &Path, record: &crate::recovery::IncarnationRecord) -> io::Result<()> {
    overwrite(&folder.join(LIFE_FILE), &format!("{:<255}\n", record.encode().trim_end()))
}

/// Records the clean end of this incarnation, unless a sibling process that started later has replaced the
/// life record.
///
/// # Errors
///
/// The life record cannot be read, or the folder cannot be written to.
pub fn record_clean_end(folder: &Path, record: &crate::recovery::IncarnationRecord) -> io::Result<()> {
    match read_life_record(folder)?.0.flatten() {
        Some(now) if now == *record => write_life_record(folder, &record.after_clean_end()),
        _ => Ok(()),
    }
}

/// The files with the cached endpoint list and the destinations' health (`crate::kept`). They are written
/// alternately: if a kill splits a write to one, the other is still intact.
const KEPT_FILES: [&str; 2] = ["kept.0", "kept.1"];
/// Size limit of one cached endpoint list; a larger one is not written, because the folder's space is for the
/// journal.
const MAX_KEPT_BYTES: usize = 32 << 10;

/// Reads the cached endpoint lists of earlier incarnations; files that cannot be read are left out.
pub fn read_cached_lists(folder: &Path) -> Vec<Vec<u8>> {
    KEPT_FILES.iter().filter_map(|name| std::fs::read(folder.join(name)).ok()).collect()
}

/// Writes a cached endpoint list for the next incarnation; `turn` selects the file.
///
/// # Errors
///
/// The folder cannot be written to, or the text is too large.
pub fn write_cached_list(folder: &Path, turn: usize, text: &str) -> io::Result<()> {
    if text.len() > MAX_KEPT_BYTES {
        return Err(io::Error::other(format!(
            "the cached endpoint list has {} bytes; the limit is {MAX_KEPT_BYTES}",
            text.len()
        )));
    }
    overwrite(&folder.join(KEPT_FILES[turn % KEPT_FILES.len()]), text)
}

/// Renames rejected cached endpoint lists to `*.refused`, so that operators can inspect them.
pub fn quarantine_cached_lists(folder: &Path) {
    for name in KEPT_FILES {
        let _ = std::fs::rename(folder.join(name), folder.join(format!("{name}.refused")));
    }
}

/// Overwrites the start of the file without truncating it: truncating and rewriting a file, like renaming
/// one, makes some file systems wait for the disk.
fn overwrite(path: &Path, text: &str) -> io::Result<()> {
    let mut file = std::fs::OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    file.write_all(text.as_bytes())
}
