//! Loads files that are checked together: applications, and the agreements and cell maps that they name.

use crate::agreement::Agreement;
use crate::application::{Application, Use};
use crate::finding::{Finding, Place, Severity};
use crate::source::Source;
use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};

/// Reads the text of a file. The caller supplies it, because this crate does no I/O.
pub type ReadFile<'a> = &'a dyn Fn(&str) -> std::io::Result<String>;

/// An application's settings file.
#[derive(Debug, Clone)]
pub struct ApplicationFile {
    /// The path of the file.
    pub file: String,
    /// The content of the file.
    pub record: Application,
    /// For each of its uses, the path of the agreement, if it could be read.
    pub agreements: Vec<Option<String>>,
    /// The cell map that the application names, if it could be read.
    pub map: Option<crate::cellmap::LoadedMap>,
}

/// Files that were loaded together.
#[derive(Debug, Default)]
pub struct FileSet {
    /// All files except cell maps, by path.
    pub sources: BTreeMap<String, Source>,
    /// The applications, in the order given.
    pub apps: Vec<ApplicationFile>,
    /// The agreements, by path.
    pub agreements: BTreeMap<String, Agreement>,
}

/// An application's use of a destination, together with the agreement that it names.
#[derive(Debug, Clone, Copy)]
pub struct ResolvedUse<'a> {
    /// The application.
    pub app: &'a ApplicationFile,
    /// The source of the application's file.
    pub source: &'a Source,
    /// The index in the application's `uses`.
    pub index: usize,
    /// The entry in the application's `uses`.
    pub entry: &'a Use,
    /// The source of the agreement's file.
    pub agreement_source: &'a Source,
    /// The agreement.
    pub agreement: &'a Agreement,
}

impl ResolvedUse<'_> {
    /// The path of a key of this use, such as `uses[0].share`.
    pub fn key_path(&self, key: &str) -> String {
        format!("uses[{}].{key}", self.index)
    }

    /// The application's name; its file's path if it has none.
    pub fn application_name(&self) -> &str {
        self.app.record.application.as_ref().map_or(self.app.file.as_str(), |n| n)
    }

    /// The destination's name; its agreement's path if it has none.
    pub fn destination_name(&self) -> &str {
        self.agreement.member.as_ref().map_or(self.agreement_source.file.as_str(), |n| n)
    }

    /// Whether the application uses the endpoint with this id.
    pub fn uses_endpoint(&self, id: &str) -> bool {
        self.entry.endpoints.as_ref().is_none_or(|e| e.iter().any(|n| n.0 == id))
    }
}

impl FileSet {
    /// The uses of an application, without those whose agreement could not be read.
    pub fn resolved_uses<'a>(
        &'a self,
        app: &'a ApplicationFile,
    ) -> impl Iterator<Item = ResolvedUse<'a>> + 'a {
        let source = &self.sources[&app.file];
        app.agreements.iter().enumerate().filter_map(move |(index, file)| {
            let file = file.as_ref()?;
            let agreement = self.agreements.get(file)?;
            Some(ResolvedUse {
                app,
                source,
                index,
                entry: &app.record.uses[index],
                agreement_source: &self.sources[file],
                agreement,
            })
        })
    }

    /// The texts of all files by path, for rendering findings.
    pub fn texts(&self) -> BTreeMap<String, String> {
        let own = self.sources.iter().map(|(file, s)| (file.clone(), s.text.clone()));
        let maps = self.apps.iter().filter_map(|a| a.map.as_ref()).flat_map(|m| m.texts());
        maps.chain(own).collect()
    }

    /// Reads files, and the agreements and cell maps that they name. Syntax errors, unknown keys and
    /// unreadable values are added to `findings`.
    pub fn load(files: &[String], read: ReadFile, findings: &mut Vec<Finding>) -> FileSet {
        let mut set = FileSet::default();
        for file in files {
            if set.sources.contains_key(file) {
                continue;
            }
            let Some(mut source) = open_source(file, read, findings, None) else { continue };
            let has = |key: &str| source.tree.get(key).is_some();
            // A file is an application or an agreement; the keys beside the name decide where the name is
            // missing.
            if has("application") || has("uses") || has("listen") {
                let record: Application = source.read(findings);
                let agreements = vec![None; record.uses.len()];
                set.apps.push(ApplicationFile { file: file.clone(), record, agreements, map: None });
            } else if has("member") || has("endpoints") || has("limit") {
                let record = source.read(findings);
                set.agreements.insert(file.clone(), record);
            } else if source.tree.as_object().is_some_and(|t| t.is_empty()) && !findings.is_empty() {
                // The file could not be read, and has a finding for it already.
            } else {
                let mend =
                    "start an application with application = \"NAME\", or an agreement with member = \"NAME\"";
                findings.push(source.finding(
                    "LB0003",
                    "",
                    "the file is neither an application nor an agreement",
                    mend,
                ));
            }
            set.sources.insert(file.clone(), source);
        }
        let mut apps = std::mem::take(&mut set.apps);
        for app in &mut apps {
            for index in 0..app.record.uses.len() {
                app.agreements[index] = set.load_agreement(app, index, read, findings);
            }
            app.map = set.load_map(app, read, findings);
        }
        set.apps = apps;
        set
    }

    fn load_map(
        &self,
        app: &ApplicationFile,
        read: ReadFile,
        findings: &mut Vec<Finding>,
    ) -> Option<crate::cellmap::LoadedMap> {
        let named = app.record.mesh.as_ref()?.map.as_ref()?;
        let file = resolve_path(&app.file, named);
        match crate::cellmap::LoadedMap::load(&file, read, findings) {
            Ok(map) => Some(map),
            Err(e) => {
                let wrong = format!("'{file}' cannot be read: {e}");
                let mend =
                    "name a file that exists; paths are relative to the folder of the file that names them";
                findings.push(self.sources[&app.file].finding("LB0001", "mesh.map", wrong, mend));
                None
            }
        }
    }

    fn load_agreement(
        &mut self,
        app: &ApplicationFile,
        index: usize,
        read: ReadFile,
        findings: &mut Vec<Finding>,
    ) -> Option<String> {
        let named = app.record.uses[index].agreement.as_ref()?;
        let file = resolve_path(&app.file, named);
        if !self.sources.contains_key(&file) {
            let place = self.sources[&app.file].place(&format!("uses[{index}].agreement"));
            let mut source = open_source(&file, read, findings, Some(place))?;
            let record = source.read(findings);
            self.agreements.insert(file.clone(), record);
            self.sources.insert(file.clone(), source);
        }
        if !self.agreements.contains_key(&file) {
            let source = &self.sources[&app.file];
            let wrong = format!("'{file}' is not an agreement");
            findings.push(source.finding(
                "LB0003",
                &format!("uses[{index}].agreement"),
                wrong,
                "set the path of a destination's agreement",
            ));
            return None;
        }
        Some(file)
    }
}

/// Resolves the path `named` relative to the folder of `file`, without access to the disk.
pub fn resolve_path(file: &str, named: &str) -> String {
    let folder = Path::new(file).parent().unwrap_or(Path::new(""));
    let mut resolved = PathBuf::new();
    for part in folder.join(named).components() {
        match part {
            Component::CurDir => {}
            Component::ParentDir if resolved.file_name().is_some() => {
                resolved.pop();
            }
            other => resolved.push(other),
        }
    }
    resolved.display().to_string()
}

fn open_source(
    file: &str,
    read: ReadFile,
    findings: &mut Vec<Finding>,
    named: Option<Place>,
) -> Option<Source> {
    match read(file) {
        Ok(text) => Some(Source::toml(file, &text, findings)),
        Err(e) => {
            let start_of_file = Place {
                file: file.into(),
                line: 1,
                column: 1,
                key: String::new(),
                label: String::new(),
                span: 0..0,
            };
            findings.push(Finding {
                code: "LB0001",
                severity: Severity::Error,
                place: named.unwrap_or(start_of_file),
                wrong: format!("'{file}' cannot be read: {e}"),
                mend: "name a file that exists; paths are relative to the folder of the file that names them"
                    .into(),
                related: Vec::new(),
            });
            None
        }
    }
}
