//! The contents of test messages. Each is a function of the message's id, so that an endpoint can tell what it received from
//! what was submitted.

use crate::keyed::base_id;

/// Lengths of the bodies, in bytes: most are short, some are empty, and some are longer than a read or write of a socket.
const BODY_LENGTHS: [usize; 16] = [40, 0, 12, 40, 300, 40, 7, 40, 12, 0, 40, 700, 40, 12, 40, 6_000];

/// The body of the message with this id.
pub fn body_of(id: &str) -> Vec<u8> {
    // FNV-1a: ids that differ only in their last digits get different lengths.
    let hash =
        id.bytes().fold(0xCBF2_9CE4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01B3));
    let length = BODY_LENGTHS[(hash >> 32) as usize % BODY_LENGTHS.len()];
    let text = format!("claim {id}, {hash:016x}\r\n\0");
    text.bytes().cycle().take(length).collect()
}

/// The idempotency key of the message with this id; all submissions of a message have the same.
pub fn idempotency_key_of(id: &str) -> String {
    format!("key-{}", base_id(id))
}

/// Describes how a request differs from the message that was submitted under this id; `None` if it does not.
pub fn difference(id: &str, idempotency_key: &str, body: &[u8]) -> Option<String> {
    let wanted = idempotency_key_of(id);
    if idempotency_key != wanted {
        return Some(format!("{id} has the idempotency key {idempotency_key:?} instead of {wanted:?}"));
    }
    let submitted = body_of(id);
    (body != submitted).then(|| {
        let same = body.iter().zip(&submitted).take_while(|(a, b)| a == b).count();
        format!(
            "{id} has a body of {} bytes instead of {}, the first {same} alike",
            body.len(),
            submitted.len()
        )
    })
}
