//! Schemas of the settings files, as JSON Schema and as CUE definitions.

use crate::agreement::Agreement;
use crate::application::Application;
use crate::cellmap::CellMap;
use schemars::Schema;
use serde_json::Value;
use std::fmt::Write as _;

/// The JSON Schema of an agreement.
pub fn agreement() -> Schema {
    schemars::schema_for!(Agreement)
}

/// The JSON Schema of an application.
pub fn application() -> Schema {
    schemars::schema_for!(Application)
}

/// The JSON Schema of a cell map.
pub fn cells() -> Schema {
    schemars::schema_for!(CellMap)
}

/// Converts a JSON Schema to CUE definitions. Each definition is closed, and each optional key is marked with
/// `?`.
pub fn cue(schema: &Schema) -> String {
    let root = schema.as_value();
    let mut out = String::from("package lilacbank\n");
    let name = root.get("title").and_then(Value::as_str).unwrap_or("Record");
    write_definition(name, root, &mut out);
    let more = root.get("$defs").and_then(Value::as_object);
    for (name, schema) in more.into_iter().flatten() {
        write_definition(name, schema, &mut out);
    }
    out
}

fn write_comment(schema: &Value, indent: &str, out: &mut String) {
    for line in schema.get("description").and_then(Value::as_str).unwrap_or("").lines() {
        let _ = writeln!(out, "{indent}// {line}");
    }
}

fn write_definition(name: &str, schema: &Value, out: &mut String) {
    out.push('\n');
    write_comment(schema, "", out);
    let _ = writeln!(out, "#{name}: {}", cue_type(schema, ""));
}

fn cue_type(schema: &Value, indent: &str) -> String {
    if let Some(name) = schema.get("$ref").and_then(Value::as_str).and_then(|r| r.rsplit('/').next()) {
        return format!("#{name}");
    }
    for key in ["anyOf", "oneOf"] {
        if let Some(all) = schema.get(key).and_then(Value::as_array) {
            let all: Vec<String> = all.iter().filter(|s| !is_null(s)).map(|s| cue_type(s, indent)).collect();
            return all.join(" | ");
        }
    }
    if let Some(value) = schema.get("const") {
        return value.to_string();
    }
    if let Some(all) = schema.get("enum").and_then(Value::as_array) {
        return all.iter().filter(|v| !v.is_null()).map(Value::to_string).collect::<Vec<_>>().join(" | ");
    }
    let kind = match schema.get("type") {
        Some(Value::Array(all)) => all.iter().filter_map(Value::as_str).find(|t| *t != "null").unwrap_or("_"),
        Some(Value::String(t)) => t,
        _ => "_",
    };
    match kind {
        "object" => cue_record(schema, indent),
        "array" => format!("[...{}]", schema.get("items").map_or("_".into(), |s| cue_type(s, indent))),
        "string" => match schema.get("pattern").and_then(Value::as_str) {
            Some(p) => format!("=~#\"{p}\"#"),
            None => "string".into(),
        },
        "integer" => match schema.get("minimum").and_then(Value::as_i64) {
            Some(n) => format!("int & >={n}"),
            None => "int".into(),
        },
        "number" => "number".into(),
        "boolean" => "bool".into(),
        _ => "_".into(),
    }
}

fn is_null(schema: &Value) -> bool {
    schema.get("type").and_then(Value::as_str) == Some("null")
}

fn cue_record(schema: &Value, indent: &str) -> String {
    let Some(keys) = schema.get("properties").and_then(Value::as_object) else {
        let by_pattern = schema.get("patternProperties").and_then(Value::as_object);
        let of = by_pattern.and_then(|p| p.values().next()).or(schema.get("additionalProperties"));
        return format!("{{[string]: {}}}", of.map_or("_".into(), |s| cue_type(s, indent)));
    };
    let inner = format!("{indent}\t");
    let mut out = String::from("{\n");
    for (key, schema) in keys {
        write_comment(schema, &inner, &mut out);
        // CUE marks the value that applies where the key is missing with `*`.
        let default = schema.get("default").filter(|d| !d.is_null() && !d.is_object() && !d.is_array());
        let cue_type = cue_type(schema, &inner);
        let value = match default {
            Some(d) => format!("*{d} | {cue_type}"),
            None => cue_type,
        };
        let key = if key.contains('-') { format!("\"{key}\"") } else { key.clone() };
        let _ = writeln!(out, "{inner}{key}?: {value}");
    }
    out + indent + "}"
}

#[cfg(test)]
mod tests;
