//! Tests of the module `together`.

use super::*;

#[test]
fn shipped_file_disables_everything_and_errors_name_file_line_and_key() {
    let shipped = ResilienceSettings::parse("f", include_str!("../../deploy/together.toml")).unwrap();
    assert_eq!(shipped, ResilienceSettings::default());
    assert!(!shipped.recovery.enabled);
    for (text, expected) in [
        ("[recovery]\nenabled = true\nramps = true\n", "f:3: key ramps: unknown field"),
        ("[recovery]\n\nfirst_rate = 0\n", "f:3: key recovery.first_rate: 0 is not from 0.1"),
        ("[recovery]\nenabled = \"yes\"\n", "f:2: key enabled: invalid type"),
        ("[recovered]\n", "f:1: key : unknown field"),
        ("[replication]\ncopies = 0\n", "f:2: key replication.copies: 0 is not from 1 to 8"),
        ("[replication]\nenabled = true\n", "f:1: key replication.installation: it is missing"),
        ("[replication]\nlisten = \"here\"\n", "f:2: key listen: invalid socket address"),
        (
            "[replication]\nenabled = true\ninstallation = \"i\"\n",
            "f:1: key replication.peers: no peer is listed",
        ),
        (
            "[replication]\n[[replication.peers]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n\
                 [[replication.peers]]\nname = \"a\"\naddress = \"127.0.0.1:2\"\n",
            "f:6: key replication.peers: a is listed twice",
        ),
    ] {
        let e = ResilienceSettings::parse("f", text).unwrap_err();
        assert!(e.starts_with(expected), "{e}");
    }
    let one = "[replication]\nenabled = true\ninstallation = \"i\"\n\
                   [[replication.peers]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n";
    let one = ResilienceSettings::parse("f", one).unwrap();
    assert!(one.check("b", false).is_ok() && one.check("a", false).is_err() && one.check("b", true).is_err());
}
