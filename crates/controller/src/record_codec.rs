//! Framing of records on disk.
//!
//! A frame is a header of 13 bytes and a payload. The header holds the format
//! version, the payload's length and CRC-32, and the CRC-32 of these nine
//! bytes, so that a damaged length is not taken for a torn write.

/// Format version of frames.
pub const FRAME_VERSION: u8 = 1;
/// Bytes of a frame header.
pub const HEADER_BYTES: usize = 13;

/// What stands at a position of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameRead<'a> {
    /// A complete frame: payload and position after it.
    Complete(&'a [u8], usize),
    /// A frame with a valid header of another version.
    OtherVersion(u8),
    /// Bytes that are no complete frame.
    Broken(&'static str),
    /// The end of the file.
    End,
}

/// Appends a frame with `payload` to `target`.
///
/// ```
/// use baobabfall_controller::record_codec::{FrameRead, push_frame, read_frame};
/// let mut bytes = Vec::new();
/// push_frame(&mut bytes, b"entry").unwrap();
/// assert_eq!(read_frame(&bytes, 0), FrameRead::Complete(b"entry", bytes.len()));
/// assert!(matches!(read_frame(&bytes[..9], 0), FrameRead::Broken(_)));
/// ```
///
/// # Errors
///
/// Fails when the payload is longer than 4 GiB.
pub fn push_frame(target: &mut Vec<u8>, payload: &[u8]) -> Result<(), std::num::TryFromIntError> {
    let length = u32::try_from(payload.len())?;
    let mut header = [0; HEADER_BYTES];
    header[0] = FRAME_VERSION;
    header[1..5].copy_from_slice(&length.to_le_bytes());
    header[5..9].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let check = crc32fast::hash(&header[..9]);
    header[9..].copy_from_slice(&check.to_le_bytes());
    target.extend_from_slice(&header);
    target.extend_from_slice(payload);
    Ok(())
}

fn number_at(bytes: &[u8], start: usize) -> Option<u32> {
    let field = bytes.get(start..start + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Reads the frame at `offset`.
pub fn read_frame(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return FrameRead::End;
    }
    let fields = (number_at(rest, 1), number_at(rest, 5), number_at(rest, 9));
    let (Some(length), Some(payload_check), Some(header_check)) = fields else {
        return FrameRead::Broken("the record header is incomplete");
    };
    if crc32fast::hash(&rest[..9]) != header_check {
        return FrameRead::Broken("the record header has a wrong checksum");
    }
    if rest[0] != FRAME_VERSION {
        return FrameRead::OtherVersion(rest[0]);
    }
    let end = usize::try_from(length).unwrap_or(usize::MAX).saturating_add(HEADER_BYTES);
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return FrameRead::Broken("the record is incomplete");
    };
    if crc32fast::hash(payload) != payload_check {
        return FrameRead::Broken("the record has a wrong checksum");
    }
    FrameRead::Complete(payload, offset + end)
}

/// True when a complete frame starts anywhere after `offset`.
pub fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| {
        matches!(read_frame(bytes, start), FrameRead::Complete(..) | FrameRead::OtherVersion(_))
    })
}
