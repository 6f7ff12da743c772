//! Looks at folders, for the check and for the start; and whose a state folder is.

use lilacbank_settings::check::{Folder, Folders};
use std::io::{self, Write};
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
            Ok(_) => match (owner(path).ok().flatten(), is_writable(path)) {
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

fn owner(folder: &Path) -> io::Result<Option<String>> {
    match std::fs::read_to_string(folder.join(OWNER)) {
        Ok(text) => Ok(Some(text.trim().to_string()).filter(|t| !t.is_empty())),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Takes a state folder for an application. Guards against two sidecars on one journal after a slip of the pen.
///
/// # Errors
///
/// Where the folder cannot be made or written to, or is another application's.
pub fn claim(folder: &Path, application: &str) -> io::Result<()> {
    make_folder(folder)?;
    match owner(folder)? {
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

/// The life record of a folder (none: no file; `Some(None)`: it does not read), and whether other files of the dispatcher's
/// are there.
pub type LifeSeen = (Option<Option<crate::recovery::LifeRecord>>, bool);

/// What a start finds of the folder's lives, before it opens the journal (which makes files of its own).
///
/// # Errors
///
/// The file cannot be read now; that says nothing of what it holds.
pub fn look_at_life(folder: &Path) -> io::Result<LifeSeen> {
    let record = match std::fs::read(folder.join(LIFE)) {
        Ok(bytes) => Some(std::str::from_utf8(&bytes).ok().and_then(crate::recovery::LifeRecord::decode)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let mut others = false;
    for name in USED {
        others |= is_used(&folder.join(name))?;
    }
    Ok((record, others))
}

/// Does the file say that a process has used its folder?
fn is_used(path: &Path) -> io::Result<bool> {
    let is_lock = path.extension().is_some_and(|e| e == "lock");
    match std::fs::metadata(path) {
        Ok(about) => Ok(about.len() > 0 || is_lock),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(e) => Err(e),
    }
}

/// Makes the folder if it is not there. Guards against one that is there and cannot be looked at for a moment: that error passes,
/// and that it exists would not.
///
/// # Errors
///
/// It cannot be made or looked at, or is something else.
pub fn make_folder(folder: &Path) -> io::Result<()> {
    match std::fs::create_dir_all(folder) {
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => match std::fs::metadata(folder) {
            Ok(about) if about.is_dir() => Ok(()),
            Ok(_) => Err(e),
            Err(unseen) => Err(unseen),
        },
        done => done,
    }
}

/// May the same call succeed a little later? A folder may be full or fail for a while, and descriptors may be short.
pub fn may_pass(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    /// Linux's numbers of errors that have no kind of their own: EIO, ENFILE, EMFILE, ENOLCK and ENOBUFS.
    const NUMBERS: [i32; 5] = [5, 23, 24, 37, 105];
    matches!(
        error.kind(),
        StorageFull | QuotaExceeded | Interrupted | ResourceBusy | OutOfMemory | StaleNetworkFileHandle
    ) || error.raw_os_error().is_some_and(|n| NUMBERS.contains(&n))
}

/// Writes the life record over the old one: one write of less than a page, which a kill does not divide. Not by a second
/// file and its rename: some file systems then wait for the disk, and a start with them.
///
/// # Errors
///
/// Where the folder cannot be written to.
pub fn write_life(folder: &Path, record: &crate::recovery::LifeRecord) -> io::Result<()> {
    overwrite(&folder.join(LIFE), &format!("{:<255}\n", record.encode().trim_end()))
}

/// Notes that the process of this life ends as it should; a later one beside it has written its own record since.
///
/// # Errors
///
/// Where the folder cannot be written to.
pub fn end_life(folder: &Path, record: &crate::recovery::LifeRecord) -> io::Result<()> {
    match look_at_life(folder)?.0.flatten() {
        Some(now) if now == *record => write_life(folder, &record.ended_well()),
        _ => Ok(()),
    }
}

/// The files of the list and the members' health as last learnt (`crate::kept`), written in turn: a kill may divide a
/// write, and then the other one is whole.
const KEPT: [&str; 2] = ["kept.0", "kept.1"];
/// It is not written where it would be larger: the folder is the journal's.
const KEPT_MOST: usize = 32 << 10;

/// What earlier lives kept: the two files, as far as they are there.
pub fn read_kept(folder: &Path) -> Vec<Vec<u8>> {
    KEPT.iter().filter_map(|name| std::fs::read(folder.join(name)).ok()).collect()
}

/// Keeps it for the next life, in the file whose turn it is.
///
/// # Errors
///
/// Where the folder cannot be written to, or it is too large.
pub fn write_kept(folder: &Path, turn: usize, text: &str) -> io::Result<()> {
    if text.len() > KEPT_MOST {
        return Err(io::Error::other(format!(
            "{} bytes of list and health are too many to keep",
            text.len()
        )));
    }
    overwrite(&folder.join(KEPT[turn % KEPT.len()]), text)
}

/// Sets files that are no hint aside, for those who look after them.
pub fn set_kept_aside(folder: &Path) {
    for name in KEPT {
        let _ = std::fs::rename(folder.join(name), folder.join(format!("{name}.refused")));
    }
}

/// Writes over what the file holds and cuts nothing off: a file that is cut and written again is waited for, too.
fn overwrite(path: &Path, text: &str) -> io::Result<()> {
    let mut file = std::fs::OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    file.write_all(text.as_bytes())
}
