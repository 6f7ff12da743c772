//! Every value in force, and where it comes from.

use crate::check::effective;
use crate::finding::Place;
use crate::render;
use crate::set::{AppFile, Set, Used};
use crate::source::Source;
use serde_json::Value;
use std::collections::BTreeMap;

/// A value in force.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Line {
    /// Its key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Where it comes from: `FILE:LINE`, `default`, or how it was reckoned.
    pub from: String,
}

fn at(place: &Place) -> String {
    format!("{}:{}", place.file, place.line)
}

fn leaves(source: &Source, path: &str, value: &Value, out: &mut Vec<Line>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| {
            let path = if path.is_empty() { k.clone() } else { format!("{path}.{k}") };
            leaves(source, &path, v, out);
        }),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.iter().enumerate().for_each(|(i, v)| leaves(source, &format!("{path}[{i}]"), v, out));
        }
        Value::Null => {}
        _ => {
            let from = if source.has(path) { at(&source.place(path)) } else { "default".into() };
            let value = value.as_str().map_or_else(|| value.to_string(), String::from);
            out.push(Line { key: path.into(), value, from });
        }
    }
}

/// All values in force for an application whose files have passed the check.
pub fn explain(set: &Set, app: &AppFile) -> Vec<Line> {
    let source = &set.sources[&app.file];
    let mut out = Vec::new();
    let record = serde_json::to_value(&app.record).unwrap_or_default();
    leaves(source, "", &record, &mut out);
    out.retain(|l| {
        !(l.key.starts_with("classes.")
            && [".repeats", ".dropped-in", ".dropped-for"].iter().any(|k| l.key.ends_with(k)))
    });
    for (name, class) in &app.record.classes {
        let e = effective(set, app, name, class);
        let from = e.from.as_ref().map_or("default: no member says otherwise".into(), at);
        let mut line = |key: &str, value: String| {
            out.push(Line { key: format!("classes.{name}.{key}"), value, from: from.clone() });
        };
        line("repeats", crate::check::word(e.repeats).into());
        if e.repeats == crate::agreement::Repeats::Dropped {
            line(
                "dropped-in",
                if e.area == crate::agreement::Area::Building { "building" } else { "member" }.into(),
            );
            line("dropped-for", e.span.to_string());
        }
    }
    let mut by_member: BTreeMap<&str, Vec<Used>> = BTreeMap::new();
    set.uses(app).for_each(|u| by_member.entry(&u.terms.file).or_default().push(u));
    for all in by_member.values() {
        let promised = render::member(all);
        let key = |k: &str| format!("promised.{}.{k}", promised.name);
        let terms = all[0].terms;
        if let (Some(calls), Some(limit)) = (promised.calls, all[0].agreement.limit) {
            let shares: Vec<String> = all
                .iter()
                .filter_map(|u| Some(format!("{} ({})", u.used.share?, at(&u.source.place(&u.key("share"))))))
                .collect();
            let what = if promised.each { " to each endpoint" } else { "" };
            out.push(Line {
                key: key("calls"),
                value: format!("{calls} in any {}{what}", limit.span),
                from: format!("{} of {limit} ({})", shares.join(" and "), at(&terms.place("limit"))),
            });
        }
        if let Some(n) = promised.connections {
            let from = all
                .iter()
                .map(|u| at(&u.source.place(&u.key("connections"))))
                .collect::<Vec<_>>()
                .join(" and ");
            out.push(Line { key: key("connections"), value: format!("{n} to each endpoint"), from });
        }
        let told = |k: &str, value: String, path: &str| Line {
            key: key(k),
            value,
            from: if terms.has(path) { at(&terms.place(path)) } else { "default".into() },
        };
        out.push(told("drain", all[0].agreement.drain.to_string(), "drain"));
        out.push(told("wait-most", all[0].agreement.wait_most.to_string(), "wait-most"));
        out.push(told("travel", all[0].agreement.travel.to_string(), "travel"));
        let ids: Vec<&str> = all[0]
            .agreement
            .endpoints
            .iter()
            .filter_map(|e| e.id.as_ref())
            .filter(|id| all.iter().any(|u| u.takes(id)))
            .map(|n| n.0.as_str())
            .collect();
        out.push(told("endpoints", ids.join(", "), "endpoints"));
    }
    out.sort_by(|a, b| a.key.cmp(&b.key));
    out
}
