//! Checks of one agreement.

use super::{
    check_dropped_keys, check_duplicates, check_range, check_required, with_paths, with_related,
    MAX_DRAIN_TIME,
};
use crate::agreement::{Agreement, Repeats};
use crate::finding::Finding;
use crate::source::Source;
use crate::units::{Name, Share, Span, WHOLE_MILLIONTHS};
use std::collections::BTreeMap;

/// Checks one agreement by itself.
pub(super) fn check_agreement(s: &Source, a: &Agreement, findings: &mut Vec<Finding>) {
    check_required(
        s,
        "member",
        &a.member,
        "set the destination's name: member = \"sotrans-dakar\"",
        findings,
    );
    check_required(
        s,
        "destination",
        &a.destination,
        "set the destination's number: destination = 7",
        findings,
    );
    if a.destination.is_some_and(|d| d > (1 << 53)) {
        findings.push(s.finding(
            "LB0007",
            "destination",
            "the destination number is too large",
            "use a number from 0 to 9007199254740992",
        ));
    }
    if a.drain > MAX_DRAIN_TIME {
        let wrong = format!("the drain time of {} is longer than {MAX_DRAIN_TIME}", a.drain);
        let mend = "new attempts at a draining endpoint must stop within 2s; set drain = \"2s\" or less";
        findings.push(s.finding("LB0302", "drain", wrong, mend));
    }
    check_range(s, "cold", a.cold, Span(0.0), Span(600_000.0), findings);
    check_range(s, "cold-from", a.cold_from, Share(10_000), Share(WHOLE_MILLIONTHS), findings);
    check_range(s, "travel", a.travel, Span(0.0), Span(10_000.0), findings);
    check_range(s, "wait-most", a.wait_most, Span(0.0), Span(3_600_000.0), findings);
    if let Some(limit) = a.limit {
        check_range(s, "limit", limit.span, Span(10.0), Span(7.0 * 86_400_000.0), findings);
    }
    if a.connections == Some(0) {
        findings.push(s.finding("LB0007", "connections", "'connections' is 0", "set it to 1 or more"));
    }
    if a.endpoints.is_empty() && !s.is_unreadable("endpoints") {
        findings.push(s.finding(
            "LB0006",
            "endpoints",
            "no endpoint is listed",
            "add an [[endpoints]] table",
        ));
    }
    check_duplicates(s, "LB0101", "building", with_paths(&a.buildings, "buildings"), findings);
    let mut ids: BTreeMap<&Name, (usize, Option<&Name>)> = BTreeMap::new();
    for (i, e) in a.endpoints.iter().enumerate() {
        let key = |key: &str| format!("endpoints[{i}].{key}");
        check_required(s, &key("id"), &e.id, "give the endpoint an id", findings);
        check_required(
            s,
            &key("address"),
            &e.address,
            "set the endpoint's address: address = \"127.0.0.1:9101\"",
            findings,
        );
        check_required(s, &key("building"), &e.building, "set the endpoint's building", findings);
        if let Some(b) =
            e.building.as_ref().filter(|b| !a.buildings.contains(b) && !s.is_unreadable("buildings"))
        {
            let wrong = format!("the building '{b}' is not in the destination's 'buildings'");
            let f = s.finding(
                "LB0201",
                &key("building"),
                wrong,
                "add it to 'buildings', or use one that is listed there",
            );
            findings.push(if s.has("buildings") {
                with_related(f, s.place("buildings"), "the destination's buildings")
            } else {
                f
            });
        }
        if e.connections == Some(0) {
            findings.push(s.finding(
                "LB0007",
                &key("connections"),
                "'connections' is 0",
                "set it to 1 or more",
            ));
        }
        if let Some(id) = &e.id {
            if let Some((first, building)) = ids.get(id) {
                let (code, wrong) = match *building == e.building.as_ref() {
                    true => ("LB0101", format!("the endpoint '{id}' is defined more than once")),
                    false => ("LB0207", format!("the endpoint '{id}' is assigned to two buildings")),
                };
                let f = s.finding(
                    code,
                    &key("id"),
                    wrong,
                    "an endpoint is in one building; give the second one another id",
                );
                findings.push(with_related(
                    f,
                    s.place(&format!("endpoints[{first}].building")),
                    "first defined here",
                ));
            } else {
                ids.insert(id, (i, e.building.as_ref()));
            }
        }
    }
    let addresses = a.endpoints.iter().enumerate();
    let addresses =
        addresses.filter_map(|(i, e)| Some((format!("endpoints[{i}].address"), e.address.as_ref()?)));
    check_duplicates(s, "LB0102", "address", addresses, findings);
    if a.classes.is_empty() && !s.is_unreadable("classes") {
        findings.push(s.finding(
            "LB0006",
            "classes",
            "no message class is accepted",
            "add a table such as [classes.claim-status]",
        ));
    }
    for (name, c) in &a.classes {
        let key = format!("classes.{name}");
        check_required(
            s,
            &format!("{key}.repeats"),
            &c.repeats,
            "set what a repeat does: \"forbidden\", \"dropped\" or \"harmless\"",
            findings,
        );
        if c.repeats == Some(Repeats::Dropped) {
            let mend = "set how long repeats are dropped: dropped-for = \"20s\"";
            check_required(s, &format!("{key}.dropped-for"), &c.dropped_for, mend, findings);
        }
        check_dropped_keys(s, &key, c.repeats, c.dropped_in.is_some(), c.dropped_for, findings);
    }
}
