//! Binary encoding of the messages between baobabfall's own processes.
//!
//! A message is one version byte followed by a MessagePack map. Fields are
//! encoded by name, so a process ignores fields that a newer release added.

use baobabfall_core::error_kind::ErrorKind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// First byte of every message; a message with any other value is rejected.
pub const MESSAGE_VERSION: u8 = 1;
/// Encoding of `None`.
const NIL: u8 = 0xc0;
/// Largest accepted message in bytes, including the version byte.
pub const MESSAGE_LIMIT: usize = 1 << 20;

/// Reason why a message could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The first byte differs from [`MESSAGE_VERSION`].
    #[error("Message version {0} is not supported; this process uses version {MESSAGE_VERSION}.")]
    UnsupportedVersion(u8),
    /// The message is larger than [`MESSAGE_LIMIT`]; holds its size in bytes.
    #[error("The message has {0} bytes; at most {MESSAGE_LIMIT} are accepted.")]
    Oversized(usize),
    /// The message is empty or does not have the expected type.
    #[error("The message is malformed: {0}.")]
    Malformed(String),
}

impl CodecError {
    /// Error kind to respond with.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::UnsupportedVersion(_) => ErrorKind::UnsupportedVersion,
            Self::Oversized(_) => ErrorKind::OversizedRequest,
            Self::Malformed(_) => ErrorKind::MalformedRequest,
        }
    }
}

/// Encodes a message with its version byte.
///
/// ```
/// use baobabfall_node::codec::{decode, encode};
/// let bytes = encode(&(1u8, "a")).unwrap();
/// assert_eq!(decode::<(u8, String)>(&bytes).unwrap(), (1, "a".to_owned()));
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    encode_after(Vec::new(), message)
}

/// Encodes a message like [`encode`] and appends it to `bytes`.
pub fn encode_after<T: Serialize>(mut bytes: Vec<u8>, message: &T) -> Result<Vec<u8>, CodecError> {
    let start = bytes.len();
    bytes.push(MESSAGE_VERSION);
    rmp_serde::encode::write_named(&mut bytes, message)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    let length = bytes.len() - start;
    if length > MESSAGE_LIMIT {
        return Err(CodecError::Oversized(length));
    }
    Ok(bytes)
}

/// Encodes a message whose last field is `None`, as far as that field.
pub fn encode_before_last<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let mut bytes = encode(message)?;
    match bytes.pop() {
        Some(NIL) => Ok(bytes),
        _ => Err(CodecError::Malformed("the last field is not empty".to_owned())),
    }
}

/// Encodes the value of a last field that [`encode_before_last`] has left out.
///
/// ```
/// use baobabfall_node::codec::{decode, encode_before_last, encode_field};
/// let mut bytes = encode_before_last(&(1u8, None::<&str>)).unwrap();
/// bytes.extend(encode_field(&"a").unwrap());
/// assert_eq!(decode::<(u8, Option<String>)>(&bytes).unwrap(), (1, Some("a".to_owned())));
/// ```
pub fn encode_field<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|error| CodecError::Malformed(error.to_string()))
}

/// Checks the size and version of a message and decodes it.
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
