//! Tests of the module `cells`.

use super::*;

/// Guards against one cell taking all connections of an endpoint, and against a share that no cell may
/// use.
#[test]
fn connections_are_lent_and_come_back_as_attempts_end() {
    let spec = |name: &str| CellSpec { name: name.into(), weight: 1.0, tenants: Vec::new() };
    let settings = Settings { slots: 32, max_held: 100, ..Settings::default() };
    let mut cells = Cells::new(&settings, &[spec("a"), spec("b")], &[], 1 << 20);
    assert_eq!(cells.connections_left(0, "e", 8), 7, "a quarter of the idle share is never lent");
    (0..7).for_each(|_| cells.count_connection(0, "e", true));
    cells.all[1].held = 1;
    assert_eq!(
        (cells.connections_left(0, "e", 8), cells.connections_left(1, "e", 8)),
        (4, 1),
        "the owner has messages to send"
    );
    (0..3).for_each(|_| cells.count_connection(0, "e", false));
    assert_eq!(cells.connections_left(1, "e", 8), 4);
    assert_eq!(cells.connections_left(1, "other", 8), 7, "endpoints are counted separately");
    assert_eq!(cells.connections_left(1, "e", u32::MAX), u32::MAX);
    (0..9).for_each(|_| cells.count_connection(0, "e", false));
    assert!(cells.all[0].connections.is_empty());
}
