//! Files that are checked together: applications, and the agreements that they use.

use crate::agreement::Agreement;
use crate::application::{Application, Use};
use crate::finding::{Finding, Place, Severity};
use crate::source::Source;
use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};

/// Reads a file's text; the host does it, so that nothing here opens any.
pub type ReadFile<'a> = &'a dyn Fn(&str) -> std::io::Result<String>;

/// An application's file.
#[derive(Debug, Clone)]
pub struct AppFile {
    /// Its name.
    pub file: String,
    /// What stands in it.
    pub record: Application,
    /// For each of its uses the file of the agreement, if it could be read.
    pub agreements: Vec<Option<String>>,
    /// The cell map that it names, if it could be read.
    pub map: Option<crate::cellmap::Read>,
}

/// Files that were read together.
#[derive(Debug, Default)]
pub struct Set {
    /// All of them, by name.
    pub sources: BTreeMap<String, Source>,
    /// The applications, in the order in which they were given.
    pub apps: Vec<AppFile>,
    /// The agreements, by file.
    pub agreements: BTreeMap<String, Agreement>,
}

/// A use of a member by an application, with all that belongs to it.
#[derive(Debug, Clone, Copy)]
pub struct Used<'a> {
    /// The application's file.
    pub app: &'a AppFile,
    /// Its source.
    pub source: &'a Source,
    /// Which of its uses.
    pub at: usize,
    /// The use.
    pub used: &'a Use,
    /// The agreement's source.
    pub terms: &'a Source,
    /// The agreement.
    pub agreement: &'a Agreement,
}

impl Used<'_> {
    /// The path of a key of this use.
    pub fn key(&self, key: &str) -> String {
        format!("uses[{}].{key}", self.at)
    }

    /// Its application's name.
    pub fn name(&self) -> &str {
        self.app.record.application.as_ref().map_or(self.app.file.as_str(), |n| n)
    }

    /// Its member's name.
    pub fn member(&self) -> &str {
        self.agreement.member.as_ref().map_or(self.terms.file.as_str(), |n| n)
    }

    /// Is the endpoint among those used?
    pub fn takes(&self, id: &str) -> bool {
        self.used.endpoints.as_ref().is_none_or(|e| e.iter().any(|n| n.0 == id))
    }
}

impl Set {
    /// The uses of an application whose agreement could be read.
    pub fn uses<'a>(&'a self, app: &'a AppFile) -> impl Iterator<Item = Used<'a>> + 'a {
        let source = &self.sources[&app.file];
        app.agreements.iter().enumerate().filter_map(move |(at, file)| {
            let file = file.as_ref()?;
            let agreement = self.agreements.get(file)?;
            Some(Used { app, source, at, used: &app.record.uses[at], terms: &self.sources[file], agreement })
        })
    }

    /// The texts, for showing findings.
    pub fn texts(&self) -> BTreeMap<String, String> {
        let own = self.sources.iter().map(|(file, s)| (file.clone(), s.text.clone()));
        let maps = self.apps.iter().filter_map(|a| a.map.as_ref()).flat_map(|m| m.texts());
        maps.chain(own).collect()
    }

    /// Reads files and the agreements that they name. All faults of form go to `found`.
    pub fn load(files: &[String], read: ReadFile, found: &mut Vec<Finding>) -> Set {
        let mut set = Set::default();
        for file in files {
            if set.sources.contains_key(file) {
                continue;
            }
            let Some(mut source) = open(file, read, found, None) else { continue };
            let has = |key: &str| source.tree.get(key).is_some();
            // Either names itself; where that line is what is missing, the other keys tell.
            if has("application") || has("uses") || has("listen") {
                let record: Application = source.read(found);
                let agreements = vec![None; record.uses.len()];
                set.apps.push(AppFile { file: file.clone(), record, agreements, map: None });
            } else if has("member") || has("endpoints") || has("limit") {
                let record = source.read(found);
                set.agreements.insert(file.clone(), record);
            } else if source.tree.as_object().is_some_and(|t| t.is_empty()) && !found.is_empty() {
                // That it could not be read was said already.
            } else {
                let mend =
                    "an application begins with application = \"NAME\", an agreement with member = \"NAME\"";
                found.push(source.fault(
                    "LB0003",
                    "",
                    "this is neither an application nor an agreement",
                    mend,
                ));
            }
            set.sources.insert(file.clone(), source);
        }
        let mut apps = std::mem::take(&mut set.apps);
        for app in &mut apps {
            for at in 0..app.record.uses.len() {
                app.agreements[at] = set.agreement_of(app, at, read, found);
            }
            app.map = set.map_of(app, read, found);
        }
        set.apps = apps;
        set
    }

    fn map_of(
        &self,
        app: &AppFile,
        read: ReadFile,
        found: &mut Vec<Finding>,
    ) -> Option<crate::cellmap::Read> {
        let named = app.record.mesh.as_ref()?.map.as_ref()?;
        let file = beside(&app.file, named);
        match crate::cellmap::Read::load(&file, read, found) {
            Ok(map) => Some(map),
            Err(e) => {
                let wrong = format!("'{file}' cannot be read: {e}");
                let mend =
                    "name a file that is there; paths are taken from the folder of the file that names them";
                found.push(self.sources[&app.file].fault("LB0001", "mesh.map", wrong, mend));
                None
            }
        }
    }

    fn agreement_of(
        &mut self,
        app: &AppFile,
        at: usize,
        read: ReadFile,
        found: &mut Vec<Finding>,
    ) -> Option<String> {
        let named = app.record.uses[at].agreement.as_ref()?;
        let file = beside(&app.file, named);
        if !self.sources.contains_key(&file) {
            let place = self.sources[&app.file].place(&format!("uses[{at}].agreement"));
            let mut source = open(&file, read, found, Some(place))?;
            let record = source.read(found);
            self.agreements.insert(file.clone(), record);
            self.sources.insert(file.clone(), source);
        }
        if !self.agreements.contains_key(&file) {
            let source = &self.sources[&app.file];
            let wrong = format!("'{file}' is not an agreement");
            found.push(source.fault(
                "LB0003",
                &format!("uses[{at}].agreement"),
                wrong,
                "name the member's file",
            ));
            return None;
        }
        Some(file)
    }
}

/// A file's path, as seen from the folder of another file.
pub fn beside(file: &str, named: &str) -> String {
    let folder = Path::new(file).parent().unwrap_or(Path::new(""));
    let mut clean = PathBuf::new();
    for part in folder.join(named).components() {
        match part {
            Component::CurDir => {}
            Component::ParentDir if clean.file_name().is_some() => {
                clean.pop();
            }
            other => clean.push(other),
        }
    }
    clean.display().to_string()
}

fn open(file: &str, read: ReadFile, found: &mut Vec<Finding>, named: Option<Place>) -> Option<Source> {
    match read(file) {
        Ok(text) => Some(Source::toml(file, &text, found)),
        Err(e) => {
            let nowhere = Place {
                file: file.into(),
                line: 1,
                column: 1,
                key: String::new(),
                says: String::new(),
                span: 0..0,
            };
            found.push(Finding {
                code: "LB0001",
                severity: Severity::Error,
                place: named.unwrap_or(nowhere),
                wrong: format!("'{file}' cannot be read: {e}"),
                mend:
                    "name a file that is there; paths are taken from the folder of the file that names them"
                        .into(),
                with: Vec::new(),
            });
            None
        }
    }
}
