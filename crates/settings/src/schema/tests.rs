//! Tests of the module `schema`.

use super::*;

/// Guards against schemas that accept more than the parser, or lack units or defaults.
#[test]
fn schemas_have_units_defaults_and_closed_records() {
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
