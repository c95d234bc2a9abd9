//! Encoding of messages between the system's processes.
//!
//! A message is one version byte and a MessagePack map. Fields are named, so
//! processes of neighbouring releases ignore fields that they do not know.

use baobabfall_core::error_kind::ErrorKind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the message format.
pub const MESSAGE_VERSION: u8 = 1;
/// Largest message in bytes.
pub const MESSAGE_LIMIT: usize = 1 << 20;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The first byte names another version.
    #[error("Message version {0} is not supported; this process speaks version {MESSAGE_VERSION}.")]
    UnsupportedVersion(u8),
    /// The message is larger than [`MESSAGE_LIMIT`].
    #[error("The message has {0} bytes; at most {MESSAGE_LIMIT} are accepted.")]
    Oversized(usize),
    /// The message is empty or its content is not what the path expects.
    #[error("The message is malformed: {0}.")]
    Malformed(String),
}

impl CodecError {
    /// Kind for the answer.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::UnsupportedVersion(_) => ErrorKind::UnsupportedVersion,
            Self::Oversized(_) => ErrorKind::OversizedRequest,
            Self::Malformed(_) => ErrorKind::MalformedRequest,
        }
    }
}

/// Encodes a message.
///
/// ```
/// use baobabfall_node::codec::{decode, encode};
/// let bytes = encode(&(1u8, "a")).unwrap();
/// assert_eq!(decode::<(u8, String)>(&bytes).unwrap(), (1, "a".to_owned()));
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let mut bytes = vec![MESSAGE_VERSION];
    rmp_serde::encode::write_named(&mut bytes, message)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if bytes.len() > MESSAGE_LIMIT {
        return Err(CodecError::Oversized(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MESSAGE_LIMIT {
        return Err(CodecError::Oversized(bytes.len()));
    }
    match bytes.split_first() {
        Some((&MESSAGE_VERSION, body)) => {
            rmp_serde::from_slice(body).map_err(|error| CodecError::Malformed(error.to_string()))
        }
        Some((version, _)) => Err(CodecError::UnsupportedVersion(*version)),
        None => Err(CodecError::Malformed("it is empty".to_owned())),
    }
}
