//! What a check found: one record for each fault, and how it is shown.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::Range;

/// How bad it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It may be what was meant; nothing is refused for it.
    Warning,
    /// Nothing is written and nothing starts with it.
    Error,
}

/// A place in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Place {
    /// The file, as it was named.
    pub file: String,
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// The key, with those above it: `uses[0].share`.
    pub key: String,
    /// What this place has to do with it; empty for the place of the fault itself.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub says: String,
    /// Bytes of the file.
    #[serde(skip)]
    pub span: Range<usize>,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Its code, which stays.
    pub code: &'static str,
    /// How bad it is.
    pub severity: Severity,
    /// Where.
    #[serde(flatten)]
    pub place: Place,
    /// What is wrong.
    pub wrong: String,
    /// How to mend it.
    pub mend: String,
    /// Other places that have to do with it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub with: Vec<Place>,
}

/// Is there anything that refuses the files?
pub fn refused(findings: &[Finding]) -> bool {
    findings.iter().any(|f| f.severity == Severity::Error)
}

/// The findings as a text for people; `texts` are the files by name.
pub fn show(findings: &[Finding], texts: &BTreeMap<String, String>, color: bool) -> String {
    let renderer = if color { Renderer::styled() } else { Renderer::plain() };
    let mut out = String::new();
    for f in findings {
        let level = if f.severity == Severity::Error { Level::ERROR } else { Level::WARNING };
        let mut group = Group::with_title(level.primary_title(f.wrong.as_str()).id(f.code));
        for (n, place) in std::iter::once(&f.place).chain(&f.with).enumerate() {
            let text = texts.get(&place.file).map_or("", |t| t.as_str());
            let end = place.span.end.min(text.len());
            let span = place.span.start.min(end)..end;
            let kind = if n == 0 { AnnotationKind::Primary } else { AnnotationKind::Context };
            let label = if place.says.is_empty() { place.key.as_str() } else { place.says.as_str() };
            let mark = kind.span(span).label(label);
            group = group.element(Snippet::source(text).path(place.file.as_str()).annotation(mark));
        }
        let group = group.element(Level::HELP.message(f.mend.as_str()));
        out += &renderer.render(&[group]);
        out += "\n\n";
    }
    out
}
