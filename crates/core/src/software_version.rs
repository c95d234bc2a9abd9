//! Software version of an upstream, to which the streams that it began are bound.

use serde::{Deserialize, Serialize, Serializer};
use std::sync::Arc;
use thiserror::Error;

/// Longest version in bytes.
const VERSION_LIMIT_BYTES: usize = 64;

/// Version of the software of an upstream. A stream that one version began can only be
/// continued by the same version.
///
/// ```
/// use baobabfall_core::software_version::SoftwareVersion;
/// let version = SoftwareVersion::parse("v1.2").unwrap();
/// assert_eq!(version.as_str(), "v1.2");
/// assert!(SoftwareVersion::parse("").is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct SoftwareVersion(Arc<str>);

/// Why a text is not a software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a software version must have 1 to {VERSION_LIMIT_BYTES} bytes and no control characters")]
pub struct InvalidVersion;

impl SoftwareVersion {
    /// Reads a version; `None` when the text is empty, too long or not printable.
    pub fn parse(text: &str) -> Option<Self> {
        let valid = !text.is_empty()
            && text.len() <= VERSION_LIMIT_BYTES
            && !text.chars().any(char::is_control);
        valid.then(|| Self(text.into()))
    }

    /// The version as its upstream announced it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = InvalidVersion;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text).ok_or(InvalidVersion)
    }
}

impl Serialize for SoftwareVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}
