//! A parsed file: its values as a tree, and the position of each key and value.
//!
//! TOML and JSON files become the same tree, so that the same code reads and checks both. [`Source::read`]
//! deserializes a record from the tree and does not stop at the first error: a value that cannot be read is
//! reported and removed, and the remaining values are read.

use crate::finding::{Finding, Place, Severity};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// The most unreadable values that are reported for one file. A file with more of them is probably of another
/// kind.
const MAX_UNREADABLE_VALUES: usize = 200;

/// A parsed file with the positions of its keys and values.
#[derive(Debug, Clone)]
pub struct Source {
    /// The path of the file, as shown in findings.
    pub file: String,
    /// The text of the file.
    pub text: String,
    /// The values of the file.
    pub tree: Value,
    /// The byte ranges of keys, by path.
    key_spans: BTreeMap<String, Range<usize>>,
    /// The byte ranges of values, by path.
    value_spans: BTreeMap<String, Range<usize>>,
    /// Paths of values that could not be read; these are not also reported as missing.
    unreadable_paths: BTreeSet<String>,
}

/// The path of a key inside the value at `path`.
fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

impl Source {
    fn empty(file: &str, text: &str) -> Source {
        Source {
            file: file.into(),
            text: text.into(),
            tree: Value::Object(Map::new()),
            key_spans: BTreeMap::new(),
            value_spans: BTreeMap::new(),
            unreadable_paths: BTreeSet::new(),
        }
    }

    /// Parses TOML; syntax errors are added to `findings`.
    pub fn toml(file: &str, text: &str, findings: &mut Vec<Finding>) -> Source {
        let mut s = Source::empty(file, text);
        let (table, errors) = DeTable::parse_recoverable(text);
        for e in &errors {
            let span = e.span().unwrap_or(0..0);
            let duplicate_key = e.message().contains("duplicate key");
            let mend = match duplicate_key {
                true => "remove one of the two",
                false => "use TOML: key = value, with strings in quotes",
            };
            let place = s.place_at(span, "");
            findings.push(Finding {
                code: "LB0002",
                severity: Severity::Error,
                place,
                wrong: format!("invalid TOML: {}", e.message().trim()),
                mend: mend.into(),
                related: Vec::new(),
            });
        }
        s.tree = s.toml_table("", table.get_ref());
        s
    }

    fn toml_table(&mut self, path: &str, table: &DeTable) -> Value {
        let mut map = Map::new();
        for (key, value) in table {
            let at = join_path(path, key.get_ref());
            self.key_spans.insert(at.clone(), key.span());
            self.value_spans.insert(at.clone(), value.span());
            map.insert(key.get_ref().to_string(), self.toml_value(&at, value.get_ref()));
        }
        Value::Object(map)
    }

    fn toml_value(&mut self, path: &str, value: &DeValue) -> Value {
        match value {
            DeValue::String(s) => Value::String(s.to_string()),
            DeValue::Boolean(b) => Value::Bool(*b),
            DeValue::Integer(i) => match i64::from_str_radix(i.as_str(), i.radix()) {
                Ok(n) => n.into(),
                Err(_) => Value::String(i.to_string()),
            },
            DeValue::Float(x) => {
                let number = x.as_str().parse::<f64>().ok().and_then(serde_json::Number::from_f64);
                number.map_or_else(|| Value::String(x.to_string()), Value::Number)
            }
            DeValue::Datetime(d) => Value::String(d.to_string()),
            DeValue::Table(t) => self.toml_table(path, t),
            DeValue::Array(items) => {
                let mut all = Vec::new();
                for (i, item) in items.iter().enumerate() {
                    let at = format!("{path}[{i}]");
                    self.value_spans.insert(at.clone(), item.span());
                    all.push(self.toml_value(&at, item.get_ref()));
                }
                Value::Array(all)
            }
        }
    }

    /// Parses JSON; syntax errors and duplicate keys are added to `findings`.
    pub fn json(file: &str, text: &str, findings: &mut Vec<Finding>) -> Source {
        let mut s = Source::empty(file, text);
        let strict = jsonc_parser::ParseOptions {
            allow_comments: false,
            allow_loose_object_property_names: false,
            allow_trailing_commas: false,
            ..Default::default()
        };
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &strict);
        let (span, wrong) = match parsed.map(|p| p.value) {
            Ok(Some(value @ ast::Value::Object(_))) => {
                s.tree = s.json_value("", &value, findings);
                return s;
            }
            Ok(Some(value)) => (value.start()..value.end(), "an object was expected".to_string()),
            Ok(None) => (0..0, "the file is empty".to_string()),
            Err(e) => (e.range().start..e.range().end, e.kind().to_string()),
        };
        let place = s.place_at(span, "");
        findings.push(Finding {
            code: "LB0002",
            severity: Severity::Error,
            place,
            wrong: format!("invalid JSON for a dispatcher: {wrong}"),
            mend: "write it again with 'lilacbank app render'".into(),
            related: Vec::new(),
        });
        s
    }

    fn json_value(&mut self, path: &str, value: &ast::Value, findings: &mut Vec<Finding>) -> Value {
        match value {
            ast::Value::StringLit(s) => Value::String(s.value.to_string()),
            ast::Value::NumberLit(n) => serde_json::from_str(n.value).unwrap_or(Value::Null),
            ast::Value::BooleanLit(b) => Value::Bool(b.value),
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::Array(a) => {
                let mut all = Vec::new();
                for (i, item) in a.elements.iter().enumerate() {
                    let at = format!("{path}[{i}]");
                    self.value_spans.insert(at.clone(), item.start()..item.end());
                    all.push(self.json_value(&at, item, findings));
                }
                Value::Array(all)
            }
            ast::Value::Object(o) => {
                let mut map = Map::new();
                for p in &o.properties {
                    let at = join_path(path, p.name.as_str());
                    let key = p.name.start()..p.name.end();
                    if let Some(first) = self.key_spans.get(&at).cloned() {
                        let related =
                            vec![Place { label: "first defined here".into(), ..self.place_at(first, &at) }];
                        findings.push(Finding {
                            code: "LB0002",
                            severity: Severity::Error,
                            place: self.place_at(key.clone(), &at),
                            wrong: format!("the key '{at}' is defined more than once"),
                            mend: "remove one of the two".into(),
                            related,
                        });
                    }
                    self.key_spans.insert(at.clone(), key);
                    self.value_spans.insert(at.clone(), p.value.start()..p.value.end());
                    map.insert(p.name.as_str().to_string(), self.json_value(&at, &p.value, findings));
                }
                Value::Object(map)
            }
        }
    }

    /// The place of a byte range.
    fn place_at(&self, span: Range<usize>, key: &str) -> Place {
        let start = span.start.min(self.text.len());
        let before = self.text.get(..start).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
        Place { file: self.file.clone(), line, column, key: key.into(), label: String::new(), span }
    }

    /// The place of the value at `path`, or of its nearest ancestor if there is none.
    pub fn place(&self, path: &str) -> Place {
        let mut at = path.to_string();
        loop {
            if let Some(span) = self.value_spans.get(&at) {
                // A value of several lines, such as a table, is marked at its key.
                let multiline = self.text.get(span.clone()).is_some_and(|t| t.contains('\n'));
                let span = if multiline { self.key_spans.get(&at).unwrap_or(span) } else { span };
                return self.place_at(span.clone(), path);
            }
            match at.rfind(['.', '[']) {
                Some(cut) => at.truncate(cut),
                None => return self.place_at(0..self.first_line_len(), path),
            }
        }
    }

    /// The length of the first line in bytes.
    fn first_line_len(&self) -> usize {
        self.text.find('\n').unwrap_or(self.text.len())
    }

    /// Whether the file has the key, with a readable value or not.
    pub fn has(&self, path: &str) -> bool {
        self.value_spans.contains_key(path)
    }

    /// Whether a value at, above or below the path could not be read, or its key is unknown. A missing value
    /// is not reported as well then.
    pub fn is_unreadable(&self, path: &str) -> bool {
        let is_within = |a: &str, b: &str| {
            a.strip_prefix(b).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.unreadable_paths.iter().any(|s| is_within(path, s) || is_within(s, path))
    }

    /// Makes a finding of severity error at a path.
    pub fn finding(
        &self,
        code: &'static str,
        path: &str,
        wrong: impl Into<String>,
        mend: impl Into<String>,
    ) -> Finding {
        let place = self.place(path);
        let (wrong, mend) = (wrong.into(), mend.into());
        Finding { code, severity: Severity::Error, place, wrong, mend, related: Vec::new() }
    }

    /// Deserializes a record; each value that cannot be read is reported and left at its default.
    pub fn read<T: DeserializeOwned + Default>(&mut self, findings: &mut Vec<Finding>) -> T {
        let mut tree = self.tree.clone();
        for _ in 0..MAX_UNREADABLE_VALUES {
            let error = match serde_path_to_error::deserialize::<_, T>(&tree) {
                Ok(record) => return record,
                Err(e) => e,
            };
            let path = error.path().to_string();
            let path = if path == "." { String::new() } else { path };
            let message = error.into_inner().to_string();
            // For an unknown key the path may end at its parent; the message has the name of the key.
            let unknown = message.strip_prefix("unknown field `").and_then(|m| m.split('`').next());
            let path = match unknown {
                Some(key) if !path.ends_with(key) || !has_path(&tree, &path) => join_path(&path, key),
                _ => path,
            };
            findings.push(match unknown {
                Some(key) => self.unknown_key(&path, key, &message),
                None => self.unreadable_value(&path, &message),
            });
            self.unreadable_paths.insert(path.clone());
            if path.is_empty() || !remove_value(&mut tree, &path) {
                break;
            }
        }
        T::default()
    }

    /// The finding for an unknown key; suggests the known key with the closest spelling.
    fn unknown_key(&self, path: &str, key: &str, message: &str) -> Finding {
        let known: Vec<&str> = message.split('`').skip(3).step_by(2).collect();
        let closest =
            known.iter().map(|k| (edit_distance(key, k), *k)).min().filter(|n| n.0 <= 2 + key.len() / 4);
        let mend = match closest {
            Some((_, k)) => format!("did you mean '{k}'?"),
            None if known.is_empty() => "remove it".into(),
            None => format!("use one of: {}", known.join(", ")),
        };
        let span = self.key_spans.get(path).cloned();
        let place = span.map_or_else(|| self.place(path), |s| self.place_at(s, path));
        let wrong = format!("unknown key '{key}'");
        Finding { code: "LB0004", severity: Severity::Error, place, wrong, mend, related: Vec::new() }
    }

    /// The finding for a value that cannot be read, from the message of the deserializer.
    fn unreadable_value(&self, path: &str, message: &str) -> Finding {
        let kind = path.ends_with("kind") && message.starts_with("unknown variant");
        let (code, mend) = match message.strip_prefix("unknown variant `") {
            Some(rest) => {
                let known: Vec<&str> = rest.split('`').skip(2).step_by(2).collect();
                (if kind { "LB0202" } else { "LB0005" }, format!("use one of: {}", known.join(", ")))
            }
            None => ("LB0005", "use a value of the type that 'lilacbank schema' prints for this key".into()),
        };
        let what = if path.is_empty() { "the file".to_string() } else { format!("'{path}'") };
        self.finding(code, path, format!("{what} cannot be read: {message}"), mend)
    }
}

/// Splits a path into its keys and indices.
fn path_steps(path: &str) -> Vec<&str> {
    path.split(['.', '[']).map(|s| s.trim_end_matches(']')).filter(|s| !s.is_empty()).collect()
}

/// The value at a key of an object, or at an index of an array.
fn child_mut<'a>(value: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    match value {
        Value::Object(map) => map.get_mut(name),
        Value::Array(items) => items.get_mut(name.parse::<usize>().ok()?),
        _ => None,
    }
}

/// Whether the tree has a value at the path.
fn has_path(tree: &Value, path: &str) -> bool {
    let mut at = tree;
    for name in path_steps(path) {
        let next = match at {
            Value::Object(map) => map.get(name),
            Value::Array(items) => name.parse::<usize>().ok().and_then(|i| items.get(i)),
            _ => None,
        };
        match next {
            Some(v) => at = v,
            None => return false,
        }
    }
    true
}

/// Removes a value from the tree. An array item that is an object becomes an empty object, so that later
/// items keep their indices; for any other item the whole array is removed.
fn remove_value(tree: &mut Value, path: &str) -> bool {
    let all = path_steps(path);
    let Some((last, above)) = all.split_last() else { return false };
    let mut at = &mut *tree;
    for name in above {
        match child_mut(at, name) {
            Some(next) => at = next,
            None => return remove_value(tree, &path[..path.rfind(['.', '[']).unwrap_or(0)]),
        }
    }
    match at {
        Value::Object(map) => map.remove(*last).is_some(),
        Value::Array(items) => match last.parse::<usize>().ok().and_then(|i| items.get_mut(i)) {
            Some(item) if item.is_object() => {
                *item = Value::Object(Map::new());
                true
            }
            Some(_) => remove_value(tree, &path[..path.rfind('[').unwrap_or(0)]),
            None => false,
        },
        _ => remove_value(tree, &path[..path.rfind(['.', '[']).unwrap_or(0)]),
    }
}

/// The edit distance of two words: how many characters to replace, insert or delete.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let change = before + usize::from(x != *y);
            before = row[j + 1];
            row[j + 1] = change.min(before + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
