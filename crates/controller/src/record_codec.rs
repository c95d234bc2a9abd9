//! Frame format of the files on disk.
//!
//! A frame is a header of 13 bytes followed by a payload. The header holds the format version
//! (1 byte), the payload's length and CRC-32 (4 bytes each, little-endian), and the CRC-32 of
//! these nine bytes. The header has its own checksum so that a corrupted length isn't mistaken
//! for a torn write.

/// Format version that is written into each frame; frames of other versions aren't read.
pub const FRAME_VERSION: u8 = 1;
/// Length of a frame header in bytes.
pub const HEADER_BYTES: usize = 13;

/// Result of reading a frame at one position of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameRead<'a> {
    /// A complete frame: its payload and the offset of the byte after it.
    Complete(&'a [u8], usize),
    /// A frame with a valid header and another format version, which is given.
    OtherVersion(u8),
    /// The bytes are not a complete, intact frame; the text says why.
    Broken(&'static str),
    /// The offset is at or after the end of the file.
    End,
}

/// Appends a frame that contains `payload` to `target`.
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
/// Fails if the payload is 4 GiB or longer.
pub fn push_frame(target: &mut Vec<u8>, payload: &[u8]) -> Result<(), std::num::TryFromIntError> {
    let length = u32::try_from(payload.len())?;
    let mut header = [0; HEADER_BYTES];
    header[0] = FRAME_VERSION;
    header[1..5].copy_from_slice(&length.to_le_bytes());
    header[5..9].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&header[..9]);
    header[9..].copy_from_slice(&checksum.to_le_bytes());
    target.extend_from_slice(&header);
    target.extend_from_slice(payload);
    Ok(())
}

fn u32_at(bytes: &[u8], start: usize) -> Option<u32> {
    let field = bytes.get(start..start + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Reads the frame that starts at `offset` and verifies both checksums.
pub fn read_frame(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return FrameRead::End;
    }
    let fields = (u32_at(rest, 1), u32_at(rest, 5), u32_at(rest, 9));
    let (Some(length), Some(payload_checksum), Some(header_checksum)) = fields else {
        return FrameRead::Broken("the record header is incomplete");
    };
    if crc32fast::hash(&rest[..9]) != header_checksum {
        return FrameRead::Broken("the checksum of the record header does not match");
    }
    if rest[0] != FRAME_VERSION {
        return FrameRead::OtherVersion(rest[0]);
    }
    let end = usize::try_from(length).unwrap_or(usize::MAX).saturating_add(HEADER_BYTES);
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return FrameRead::Broken("the record is incomplete");
    };
    if crc32fast::hash(payload) != payload_checksum {
        return FrameRead::Broken("the checksum of the record does not match");
    }
    FrameRead::Complete(payload, offset + end)
}

/// True when an intact frame of any version starts at some position after `offset`.
pub fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| {
        matches!(read_frame(bytes, start), FrameRead::Complete(..) | FrameRead::OtherVersion(_))
    })
}
