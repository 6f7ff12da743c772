//! A file as it was read: its values as a tree, and where each of them stands.
//!
//! TOML and JSON files become the same tree, so that one path reads and checks both. [`Source::read`] reads a record out
//! of the tree and does not stop at the first fault: what cannot be read is reported, taken out, and the rest read.

use crate::finding::{Finding, Place, Severity};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// More faults than this in one file are not looked for: the file is something else.
const FAULTS_MOST: usize = 200;

/// A file that was read.
#[derive(Debug, Clone)]
pub struct Source {
    /// Its name, for those who read.
    pub file: String,
    /// Its text.
    pub text: String,
    /// Its values.
    pub tree: Value,
    /// Where the keys are, by path.
    keys: BTreeMap<String, Range<usize>>,
    /// Where the values are, by path.
    values: BTreeMap<String, Range<usize>>,
    /// Paths at which something could not be read: they are not missing, too.
    spoilt: BTreeSet<String>,
}

fn below(path: &str, key: &str) -> String {
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
            keys: BTreeMap::new(),
            values: BTreeMap::new(),
            spoilt: BTreeSet::new(),
        }
    }

    /// Reads TOML.
    pub fn toml(file: &str, text: &str, found: &mut Vec<Finding>) -> Source {
        let mut s = Source::empty(file, text);
        let (table, errors) = DeTable::parse_recoverable(text);
        for e in &errors {
            let span = e.span().unwrap_or(0..0);
            let double = e.message().contains("duplicate key");
            let mend = match double {
                true => "leave one of the two out",
                false => "write it as TOML: key = value, texts in quotes",
            };
            let place = s.at(span, "");
            found.push(Finding {
                code: "LB0002",
                severity: Severity::Error,
                place,
                wrong: format!("this is not TOML: {}", e.message().trim()),
                mend: mend.into(),
                with: Vec::new(),
            });
        }
        s.tree = s.toml_table("", table.get_ref());
        s
    }

    fn toml_table(&mut self, path: &str, table: &DeTable) -> Value {
        let mut map = Map::new();
        for (key, value) in table {
            let at = below(path, key.get_ref());
            self.keys.insert(at.clone(), key.span());
            self.values.insert(at.clone(), value.span());
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
                    self.values.insert(at.clone(), item.span());
                    all.push(self.toml_value(&at, item.get_ref()));
                }
                Value::Array(all)
            }
        }
    }

    /// Reads JSON.
    pub fn json(file: &str, text: &str, found: &mut Vec<Finding>) -> Source {
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
                s.tree = s.json_value("", &value, found);
                return s;
            }
            Ok(Some(value)) => (value.start()..value.end(), "an object was expected".to_string()),
            Ok(None) => (0..0, "it is empty".to_string()),
            Err(e) => (e.range().start..e.range().end, e.kind().to_string()),
        };
        let place = s.at(span, "");
        found.push(Finding {
            code: "LB0002",
            severity: Severity::Error,
            place,
            wrong: format!("this is not the JSON of a dispatcher: {wrong}"),
            mend: "write it anew by 'lilacbank app render'".into(),
            with: Vec::new(),
        });
        s
    }

    fn json_value(&mut self, path: &str, value: &ast::Value, found: &mut Vec<Finding>) -> Value {
        match value {
            ast::Value::StringLit(s) => Value::String(s.value.to_string()),
            ast::Value::NumberLit(n) => serde_json::from_str(n.value).unwrap_or(Value::Null),
            ast::Value::BooleanLit(b) => Value::Bool(b.value),
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::Array(a) => {
                let mut all = Vec::new();
                for (i, item) in a.elements.iter().enumerate() {
                    let at = format!("{path}[{i}]");
                    self.values.insert(at.clone(), item.start()..item.end());
                    all.push(self.json_value(&at, item, found));
                }
                Value::Array(all)
            }
            ast::Value::Object(o) => {
                let mut map = Map::new();
                for p in &o.properties {
                    let at = below(path, p.name.as_str());
                    let key = p.name.start()..p.name.end();
                    if let Some(first) = self.keys.get(&at).cloned() {
                        let with = vec![Place { says: "first here".into(), ..self.at(first, &at) }];
                        found.push(Finding {
                            code: "LB0002",
                            severity: Severity::Error,
                            place: self.at(key.clone(), &at),
                            wrong: format!("the key '{at}' is there twice"),
                            mend: "leave one of the two out".into(),
                            with,
                        });
                    }
                    self.keys.insert(at.clone(), key);
                    self.values.insert(at.clone(), p.value.start()..p.value.end());
                    map.insert(p.name.as_str().to_string(), self.json_value(&at, &p.value, found));
                }
                Value::Object(map)
            }
        }
    }

    /// A place by bytes.
    fn at(&self, span: Range<usize>, key: &str) -> Place {
        let start = span.start.min(self.text.len());
        let before = self.text.get(..start).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
        Place { file: self.file.clone(), line, column, key: key.into(), says: String::new(), span }
    }

    /// Where a value stands; where there is none, the nearest that is above it.
    pub fn place(&self, path: &str) -> Place {
        let mut at = path.to_string();
        loop {
            if let Some(span) = self.values.get(&at) {
                // Tables reach over many lines: their key is the place.
                let wide = self.text.get(span.clone()).is_some_and(|t| t.contains('\n'));
                let span = if wide { self.keys.get(&at).unwrap_or(span) } else { span };
                return self.at(span.clone(), path);
            }
            match at.rfind(['.', '[']) {
                Some(cut) => at.truncate(cut),
                None => return self.at(0..self.first_line(), path),
            }
        }
    }

    fn first_line(&self) -> usize {
        self.text.find('\n').unwrap_or(self.text.len())
    }

    /// Was the key written, readable or not?
    pub fn has(&self, path: &str) -> bool {
        self.values.contains_key(path)
    }

    /// Could something at, above or below the path not be read? Then its absence says nothing.
    pub fn is_spoilt(&self, path: &str) -> bool {
        let under = |a: &str, b: &str| {
            a.strip_prefix(b).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.spoilt.iter().any(|s| under(path, s) || under(s, path))
    }

    /// A fault at a path.
    pub fn fault(
        &self,
        code: &'static str,
        path: &str,
        wrong: impl Into<String>,
        mend: impl Into<String>,
    ) -> Finding {
        let place = self.place(path);
        let (wrong, mend) = (wrong.into(), mend.into());
        Finding { code, severity: Severity::Error, place, wrong, mend, with: Vec::new() }
    }

    /// Reads a record; each part that cannot be read is reported and left out.
    pub fn read<T: DeserializeOwned + Default>(&mut self, found: &mut Vec<Finding>) -> T {
        let mut tree = self.tree.clone();
        for _ in 0..FAULTS_MOST {
            let error = match serde_path_to_error::deserialize::<_, T>(&tree) {
                Ok(record) => return record,
                Err(e) => e,
            };
            let path = error.path().to_string();
            let path = if path == "." { String::new() } else { path };
            let message = error.into_inner().to_string();
            // An unknown key's own name is in the message where the path ends above it.
            let unknown = message.strip_prefix("unknown field `").and_then(|m| m.split('`').next());
            let path = match unknown {
                Some(key) if !path.ends_with(key) || !has_path(&tree, &path) => below(&path, key),
                _ => path,
            };
            found.push(match unknown {
                Some(key) => self.unknown_key(&path, key, &message),
                None => self.unreadable(&path, &message),
            });
            self.spoilt.insert(path.clone());
            if path.is_empty() || !take_out(&mut tree, &path) {
                break;
            }
        }
        T::default()
    }

    fn unknown_key(&self, path: &str, key: &str, message: &str) -> Finding {
        let known: Vec<&str> = message.split('`').skip(3).step_by(2).collect();
        let near = known.iter().map(|k| (distance(key, k), *k)).min().filter(|n| n.0 <= 2 + key.len() / 4);
        let mend = match near {
            Some((_, k)) => format!("did you mean '{k}'?"),
            None if known.is_empty() => "leave it out".into(),
            None => format!("known here are: {}", known.join(", ")),
        };
        let span = self.keys.get(path).cloned();
        let place = span.map_or_else(|| self.place(path), |s| self.at(s, path));
        let wrong = format!("the key '{key}' is not known here");
        Finding { code: "LB0004", severity: Severity::Error, place, wrong, mend, with: Vec::new() }
    }

    fn unreadable(&self, path: &str, message: &str) -> Finding {
        let kind = path.ends_with("kind") && message.starts_with("unknown variant");
        let (code, mend) = match message.strip_prefix("unknown variant `") {
            Some(rest) => {
                let known: Vec<&str> = rest.split('`').skip(2).step_by(2).collect();
                (if kind { "LB0202" } else { "LB0005" }, format!("one of {} is meant", known.join(", ")))
            }
            None => ("LB0005", "write a value of the kind that 'lilacbank schema' tells for this key".into()),
        };
        let what = if path.is_empty() { "the file".to_string() } else { format!("'{path}'") };
        self.fault(code, path, format!("{what} cannot be read: {message}"), mend)
    }
}

/// The steps of a path: keys and numbers.
fn steps(path: &str) -> Vec<&str> {
    path.split(['.', '[']).map(|s| s.trim_end_matches(']')).filter(|s| !s.is_empty()).collect()
}

fn step<'a>(value: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    match value {
        Value::Object(map) => map.get_mut(name),
        Value::Array(items) => items.get_mut(name.parse::<usize>().ok()?),
        _ => None,
    }
}

fn has_path(tree: &Value, path: &str) -> bool {
    let mut at = tree;
    for name in steps(path) {
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

/// Takes a value out of the tree. An item of a list becomes null, so that those behind it keep their places; a null
/// that cannot be read either takes the whole list with it.
fn take_out(tree: &mut Value, path: &str) -> bool {
    let all = steps(path);
    let Some((last, above)) = all.split_last() else { return false };
    let mut at = &mut *tree;
    for name in above {
        match step(at, name) {
            Some(next) => at = next,
            None => return take_out(tree, &path[..path.rfind(['.', '[']).unwrap_or(0)]),
        }
    }
    match at {
        Value::Object(map) => map.remove(*last).is_some(),
        Value::Array(items) => match last.parse::<usize>().ok().and_then(|i| items.get_mut(i)) {
            Some(item) if item.is_object() => {
                *item = Value::Object(Map::new());
                true
            }
            Some(_) => take_out(tree, &path[..path.rfind('[').unwrap_or(0)]),
            None => false,
        },
        _ => take_out(tree, &path[..path.rfind(['.', '[']).unwrap_or(0)]),
    }
}

/// Letters to change, add or leave out between two words.
fn distance(a: &str, b: &str) -> usize {
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
