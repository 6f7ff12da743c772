//! Tests of the module `door`.

use super::*;

#[test]
fn each_command_is_parsed_with_its_arguments() {
    assert_eq!(read(b"check\n"), Line::Command(Command::Check));
    assert_eq!(read(b"vars\r\n"), Line::Command(Command::Vars));
    assert_eq!(read(b"set-down w-7\n"), Line::Command(Command::SetDown("w-7".into())));
    assert_eq!(read(b"set-up  w-7 \n"), Line::Command(Command::SetUp("w-7".into())));
    assert_eq!(read(b"drain-on\n"), Line::Command(Command::DrainOn));
    assert_eq!(read(b"drain-off\n"), Line::Command(Command::DrainOff));
}

#[test]
fn a_partial_line_waits_for_more_and_a_cut_off_line_is_parsed() {
    assert_eq!(read(b"chec"), Line::Incomplete);
    assert_eq!(parse_unterminated(b"check"), Line::Command(Command::Check));
    assert!(matches!(parse_unterminated(b""), Line::Invalid(_)));
}

/// Guards against invalid input being taken for a command, or buffered without limit.
#[test]
fn an_invalid_line_gets_a_reason() {
    let bad = |bytes: &[u8]| match read(bytes) {
        Line::Invalid(why) => why,
        other => panic!("{other:?}"),
    };
    assert!(bad(b"reboot\n").contains("unknown command 'reboot'"));
    assert!(bad(b"set-down\n").contains("needs the id"));
    assert!(bad(b"set-down a b\n").contains("takes one id"));
    assert!(bad(b"check now\n").contains("takes no argument"));
    assert!(bad(b"\n").contains("empty"));
    assert!(bad(b"vars \xff\n").contains("UTF-8"));
    assert!(bad(&[b'x'; MAX_LINE_BYTES]).contains("longer"));
    assert!(bad(format!("set-down {}\n", "i".repeat(MAX_ID_BYTES + 1)).as_bytes()).contains("at most"));
}
