//! Where the packets of a connection begin and end, and which are refused before they are parsed. No I/O.

/// Maximum size of a PUBLISH in bytes: a body and its properties.
pub(super) const PUBLISH_MAX: usize = 80 * 1024;
/// Maximum size in bytes of the properties of a PUBLISH: a packet may have one property for each five of them.
const PROPERTIES_MAX: usize = 16 * 1024;
/// Maximum size of any other packet in bytes.
const CONTROL_PACKET_MAX: usize = 16 * 1024;
/// Maximum size of a fixed header in bytes.
const HEADER_MAX: usize = 5;
/// Packet type of a PUBLISH.
const PUBLISH: u8 = 3;

/// Why a packet is not parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FramingError {
    /// Its length is malformed.
    Malformed,
    /// It, or what stands before its body, is larger than allowed.
    TooLarge,
}

/// A variable byte integer at the start, and its size; `None` if it is incomplete.
fn variable_integer(bytes: &[u8]) -> Result<Option<(usize, usize)>, FramingError> {
    let mut value = 0;
    for (n, byte) in bytes.iter().take(HEADER_MAX - 1).enumerate() {
        value |= usize::from(byte & 0x7F) << (7 * n);
        if byte & 0x80 == 0 {
            return Ok(Some((value, n + 1)));
        }
    }
    match bytes.len() < HEADER_MAX - 1 {
        true => Ok(None),
        false => Err(FramingError::Malformed),
    }
}

/// Size in bytes of the packet at the start; `None` if its header is incomplete.
///
/// # Errors
///
/// The packet is not to be read.
pub(super) fn packet_size(bytes: &[u8]) -> Result<Option<usize>, FramingError> {
    let Some((first, rest)) = bytes.split_first() else { return Ok(None) };
    let Some((length, length_size)) = variable_integer(rest)? else { return Ok(None) };
    let size = 1 + length_size + length;
    let max = if first >> 4 == PUBLISH { PUBLISH_MAX } else { CONTROL_PACKET_MAX };
    if size > max {
        return Err(FramingError::TooLarge);
    }
    Ok(Some(size))
}

/// Checks a whole packet before it is parsed.
///
/// # Errors
///
/// Its properties are larger than allowed. A packet that is malformed passes: the parser finds that.
pub(super) fn check_properties(packet: &[u8]) -> Result<(), FramingError> {
    match publish_properties_size(packet) {
        Some(size) if size > PROPERTIES_MAX => Err(FramingError::TooLarge),
        _ => Ok(()),
    }
}

fn publish_properties_size(packet: &[u8]) -> Option<usize> {
    let first = packet.first().filter(|first| *first >> 4 == PUBLISH)?;
    let (_, length_size) = variable_integer(&packet[1..]).ok()??;
    let rest = packet.get(1 + length_size..)?;
    let (topic, rest) = rest.split_first_chunk::<2>()?;
    let has_packet_id = first & 0x06 != 0;
    let skipped = usize::from(u16::from_be_bytes(*topic)) + if has_packet_id { 2 } else { 0 };
    variable_integer(rest.get(skipped..)?).ok()?.map(|(size, _)| size)
}

/// Whether these bytes end with a DISCONNECT.
pub(super) fn ends_with_disconnect(bytes: &[u8]) -> bool {
    const DISCONNECT: u8 = 0xE0;
    let plain = bytes.ends_with(&[DISCONNECT, 0]);
    let with_reason = bytes.last_chunk::<3>().is_some_and(|tail| tail[..2] == [DISCONNECT, 1]);
    let with_properties = bytes.last_chunk::<4>().is_some_and(|t| t[..2] == [DISCONNECT, 2] && t[3] == 0);
    plain || with_reason || with_properties
}

#[cfg(test)]
mod tests;
