//! Tests of the module `clock`.

use super::*;

#[test]
fn boot_id_is_read_again_while_descriptors_are_short() {
    const EMFILE: i32 = 24;
    let (mut tries, mut waits) = (0, 0);
    let read = || {
        tries += 1;
        match tries {
            1..=3 => Err(io::Error::from_raw_os_error(EMFILE)),
            _ => Ok("0000000a-0000-0001-ffff-000000000000\n".to_string()),
        }
    };
    assert_eq!(read_boot_id(read, || waits += 1), 0xa_0000_0001);
    assert_eq!((tries, waits), (4, 3));
    let none = || Err(io::ErrorKind::NotFound.into());
    assert_eq!(read_boot_id(none, || panic!("waited although the file does not exist")), 0);
}
