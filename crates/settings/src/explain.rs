//! Lists every value in force, with its origin.

use crate::check::effective_repeats;
use crate::finding::Place;
use crate::render;
use crate::set::{ApplicationFile, FileSet, ResolvedUse};
use crate::source::Source;
use serde_json::Value;
use std::collections::BTreeMap;

/// A value in force, with its origin.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct EffectiveValue {
    /// The path of the key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The origin: `FILE:LINE`, `default`, or the values that it was calculated from.
    pub from: String,
}

/// Formats a place as `FILE:LINE`.
fn location(place: &Place) -> String {
    format!("{}:{}", place.file, place.line)
}

/// Appends an entry for each value below `value` that is not a table, a list of tables or null.
fn collect_leaves(source: &Source, path: &str, value: &Value, out: &mut Vec<EffectiveValue>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| {
            let path = if path.is_empty() { k.clone() } else { format!("{path}.{k}") };
            collect_leaves(source, &path, v, out);
        }),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| collect_leaves(source, &format!("{path}[{i}]"), v, out));
        }
        Value::Null => {}
        _ => {
            let from = if source.has(path) { location(&source.place(path)) } else { "default".into() };
            let value = value.as_str().map_or_else(|| value.to_string(), String::from);
            out.push(EffectiveValue { key: path.into(), value, from });
        }
    }
}

/// Lists all values in force for an application whose files have passed the check, sorted by key.
pub fn explain(set: &FileSet, app: &ApplicationFile) -> Vec<EffectiveValue> {
    let source = &set.sources[&app.file];
    let mut out = Vec::new();
    let record = serde_json::to_value(&app.record).unwrap_or_default();
    collect_leaves(source, "", &record, &mut out);
    out.retain(|l| {
        !(l.key.starts_with("classes.")
            && [".repeats", ".dropped-in", ".dropped-for"].iter().any(|k| l.key.ends_with(k)))
    });
    for (name, class) in &app.record.classes {
        let e = effective_repeats(set, app, name, class);
        let from = e.from.as_ref().map_or("default: no agreement sets it".into(), location);
        let mut line = |key: &str, value: String| {
            out.push(EffectiveValue { key: format!("classes.{name}.{key}"), value, from: from.clone() });
        };
        line("repeats", crate::check::repeats_name(e.repeats).into());
        if e.repeats == crate::agreement::Repeats::Dropped {
            line(
                "dropped-in",
                if e.area == crate::agreement::Area::Building { "building" } else { "member" }.into(),
            );
            line("dropped-for", e.span.to_string());
        }
    }
    let mut by_agreement: BTreeMap<&str, Vec<ResolvedUse>> = BTreeMap::new();
    set.resolved_uses(app).for_each(|u| by_agreement.entry(&u.agreement_source.file).or_default().push(u));
    for all in by_agreement.values() {
        let promised = render::promised_limits(all);
        let key = |k: &str| format!("promised.{}.{k}", promised.name);
        let terms = all[0].agreement_source;
        if let (Some(calls), Some(limit)) = (promised.calls, all[0].agreement.limit) {
            let shares: Vec<String> = all
                .iter()
                .filter_map(|u| {
                    Some(format!("{} ({})", u.entry.share?, location(&u.source.place(&u.key_path("share")))))
                })
                .collect();
            let what = if promised.each { " to each endpoint" } else { "" };
            out.push(EffectiveValue {
                key: key("calls"),
                value: format!("{calls} in any {}{what}", limit.span),
                from: format!("{} of {limit} ({})", shares.join(" and "), location(&terms.place("limit"))),
            });
        }
        if let Some(n) = promised.connections {
            let from = all
                .iter()
                .map(|u| location(&u.source.place(&u.key_path("connections"))))
                .collect::<Vec<_>>()
                .join(" and ");
            out.push(EffectiveValue {
                key: key("connections"),
                value: format!("{n} to each endpoint"),
                from,
            });
        }
        let agreed = |k: &str, value: String, path: &str| EffectiveValue {
            key: key(k),
            value,
            from: if terms.has(path) { location(&terms.place(path)) } else { "default".into() },
        };
        out.push(agreed("drain", all[0].agreement.drain.to_string(), "drain"));
        out.push(agreed("wait-most", all[0].agreement.wait_most.to_string(), "wait-most"));
        out.push(agreed("travel", all[0].agreement.travel.to_string(), "travel"));
        let ids: Vec<&str> = all[0]
            .agreement
            .endpoints
            .iter()
            .filter_map(|e| e.id.as_ref())
            .filter(|id| all.iter().any(|u| u.uses_endpoint(id)))
            .map(|n| n.0.as_str())
            .collect();
        out.push(agreed("endpoints", ids.join(", "), "endpoints"));
    }
    out.sort_by(|a, b| a.key.cmp(&b.key));
    out
}
