//! The records as schemas: JSON Schema, and CUE.

use crate::agreement::Agreement;
use crate::application::Application;
use crate::cellmap::CellMap;
use schemars::Schema;
use serde_json::Value;
use std::fmt::Write as _;

/// The record of an agreement, as JSON Schema.
pub fn agreement() -> Schema {
    schemars::schema_for!(Agreement)
}

/// The record of an application, as JSON Schema.
pub fn application() -> Schema {
    schemars::schema_for!(Application)
}

/// The record of a cell map, as JSON Schema.
pub fn cells() -> Schema {
    schemars::schema_for!(CellMap)
}

/// The same as CUE definitions: each record is closed, each key that may be left out is marked with `?`.
pub fn cue(schema: &Schema) -> String {
    let root = schema.as_value();
    let mut out = String::from("package lilacbank\n");
    let name = root.get("title").and_then(Value::as_str).unwrap_or("Record");
    definition(name, root, &mut out);
    let more = root.get("$defs").and_then(Value::as_object);
    for (name, schema) in more.into_iter().flatten() {
        definition(name, schema, &mut out);
    }
    out
}

fn comment(schema: &Value, indent: &str, out: &mut String) {
    for line in schema.get("description").and_then(Value::as_str).unwrap_or("").lines() {
        let _ = writeln!(out, "{indent}// {line}");
    }
}

fn definition(name: &str, schema: &Value, out: &mut String) {
    out.push('\n');
    comment(schema, "", out);
    let _ = writeln!(out, "#{name}: {}", shape(schema, ""));
}

fn shape(schema: &Value, indent: &str) -> String {
    if let Some(name) = schema.get("$ref").and_then(Value::as_str).and_then(|r| r.rsplit('/').next()) {
        return format!("#{name}");
    }
    for key in ["anyOf", "oneOf"] {
        if let Some(all) = schema.get(key).and_then(Value::as_array) {
            let all: Vec<String> = all.iter().filter(|s| !is_null(s)).map(|s| shape(s, indent)).collect();
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
        "object" => object(schema, indent),
        "array" => format!("[...{}]", schema.get("items").map_or("_".into(), |s| shape(s, indent))),
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

fn object(schema: &Value, indent: &str) -> String {
    let Some(keys) = schema.get("properties").and_then(Value::as_object) else {
        let by_pattern = schema.get("patternProperties").and_then(Value::as_object);
        let of = by_pattern.and_then(|p| p.values().next()).or(schema.get("additionalProperties"));
        return format!("{{[string]: {}}}", of.map_or("_".into(), |s| shape(s, indent)));
    };
    let inner = format!("{indent}\t");
    let mut out = String::from("{\n");
    for (key, schema) in keys {
        comment(schema, &inner, &mut out);
        // A default holds where the key is left out.
        let default = schema.get("default").filter(|d| !d.is_null() && !d.is_object() && !d.is_array());
        let shape = shape(schema, &inner);
        let value = match default {
            Some(d) => format!("*{d} | {shape}"),
            None => shape,
        };
        let key = if key.contains('-') { format!("\"{key}\"") } else { key.clone() };
        let _ = writeln!(out, "{inner}{key}?: {value}");
    }
    out + indent + "}"
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a schema that says less than the reader: closed records, units, defaults.
    #[test]
    fn schemas_tell_units_defaults_and_closed_records() {
        let json = serde_json::to_string(&agreement()).unwrap();
        assert!(json.contains(r#""additionalProperties":false"#) && json.contains("2.4/s"), "{json}");
        let text = cue(&agreement());
        for part in [
            "#Agreement: {",
            "\"wait-most\"?: *\"2s\" | #Span",
            "#Repeats: ",
            "\"forbidden\"",
            "endpoints?: [...#Endpoint]",
        ] {
            assert!(text.contains(part), "{part} is not in:\n{text}");
        }
        let text = cue(&application());
        for part in [
            "#Application: {",
            "\"keep-alive\"?: *\"10s\" | #Span",
            "uses?: [...#Use]",
            "classes?: {[string]: #Class}",
        ] {
            assert!(text.contains(part), "{part} is not in:\n{text}");
        }
    }
}
