//! Tests of the module `mqtt`.

use super::matches;

#[test]
fn topic_filters_match_as_specified() {
    for (filter, topic, fits) in [
        ("a/b", "a/b", true),
        ("a/+", "a/b", true),
        ("a/+", "a/b/c", false),
        ("a/#", "a/b/c", true),
        ("a/#", "a", true),
        ("#", "a/b", true),
        ("a", "a/b", false),
        ("a/b/c", "a/b", false),
    ] {
        assert_eq!(matches(filter, topic), fits, "{filter} {topic}");
    }
}
