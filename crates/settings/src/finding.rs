//! Findings of a check, and their rendering as text.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::Range;

/// The severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It may be intended; the files are accepted.
    Warning,
    /// The files are rejected: no output is written, and a dispatcher does not start.
    Error,
}

/// A place in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Place {
    /// The path of the file, as given.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The path of the key, such as `uses[0].share`.
    pub key: String,
    /// How this place is related to the finding; empty for the finding's own place.
    #[serde(rename = "says", skip_serializing_if = "String::is_empty")]
    pub label: String,
    /// The byte range in the file.
    #[serde(skip)]
    pub span: Range<usize>,
}

/// One error or warning about a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The code, such as `LB0001`; its meaning never changes.
    pub code: &'static str,
    /// The severity.
    pub severity: Severity,
    /// The place of the error or warning.
    #[serde(flatten)]
    pub place: Place,
    /// The description of the problem.
    pub wrong: String,
    /// How to correct it.
    pub mend: String,
    /// Related places.
    #[serde(rename = "with", skip_serializing_if = "Vec::is_empty")]
    pub related: Vec<Place>,
}

/// Whether any finding is an error, so that the files are rejected.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings.iter().any(|f| f.severity == Severity::Error)
}

/// Renders findings as text for people, with excerpts of the files; `texts` has the files' texts by path.
pub fn render_findings(findings: &[Finding], texts: &BTreeMap<String, String>, color: bool) -> String {
    let renderer = if color { Renderer::styled() } else { Renderer::plain() };
    let mut out = String::new();
    for f in findings {
        let level = if f.severity == Severity::Error { Level::ERROR } else { Level::WARNING };
        let mut group = Group::with_title(level.primary_title(f.wrong.as_str()).id(f.code));
        for (n, place) in std::iter::once(&f.place).chain(&f.related).enumerate() {
            let text = texts.get(&place.file).map_or("", |t| t.as_str());
            let end = place.span.end.min(text.len());
            let span = place.span.start.min(end)..end;
            let kind = if n == 0 { AnnotationKind::Primary } else { AnnotationKind::Context };
            let label = if place.label.is_empty() { place.key.as_str() } else { place.label.as_str() };
            let mark = kind.span(span).label(label);
            group = group.element(Snippet::source(text).path(place.file.as_str()).annotation(mark));
        }
        let group = group.element(Level::HELP.message(f.mend.as_str()));
        out += &renderer.render(&[group]);
        out += "\n\n";
    }
    out
}
