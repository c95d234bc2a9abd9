//! Parses and formats durations and sizes with units, as used in settings, and
//! converts numbers and times.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const DURATION_UNITS: [(&str, f64); 7] = [
    ("ms", 1e-3),
    ("us", 1e-6),
    ("s", 1.0),
    ("m", 60.0),
    ("min", 60.0),
    ("h", 3600.0),
    ("d", 86400.0),
];
const SIZE_UNITS: [(&str, u64); 4] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];
/// Maximum accepted duration, ten years.
const DURATION_LIMIT_SECONDS: f64 = 315_360_000.0;

/// A duration that settings write with its unit, such as `250ms`, `1.5s`, `10m`,
/// `2h` or `30d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub Duration);

/// A size in bytes that settings write with its unit, such as `512B`, `64KiB` or
/// `1MiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

/// Parses a duration: a decimal number of zero or more followed by one of the units
/// `us`, `ms`, `s`, `m`, `min`, `h` and `d`.
///
/// ```
/// use baobabfall_node::units::parse_duration;
/// use std::time::{Duration, SystemTime, UNIX_EPOCH};
/// assert_eq!(parse_duration("1.5s"), Ok(Duration::from_millis(1500)));
/// assert!(parse_duration("15").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || {
        format!(
            "{text:?} is not a duration; expected a positive number followed by one of the units us, ms, s, min, h, d, such as \"1.9s\""
        )
    };
    let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(invalid)?;
    let (number, unit) = text.split_at(split);
    let factor = DURATION_UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(invalid)?.1;
    let number: f64 = number.trim().parse().map_err(|_| invalid())?;
    let seconds = number * factor;
    if !(0.0..=DURATION_LIMIT_SECONDS).contains(&seconds) {
        return Err(invalid());
    }
    Ok(Duration::from_secs_f64(seconds))
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the wall clock time in milliseconds since the Unix epoch, or zero when
/// the clock is set to an earlier time.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// Converts a count to the nearest float; exact up to 2^53.
pub fn to_float(count: u64) -> f64 {
    let high = u32::try_from(count >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(count & 0xffff_ffff).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}

/// Parses a size: a whole number followed by one of the units `B`, `KiB`, `MiB` and
/// `GiB`.
///
/// ```
/// use baobabfall_node::units::parse_size;
/// assert_eq!(parse_size("64KiB"), Ok(65536));
/// ```
pub fn parse_size(text: &str) -> Result<u64, String> {
    let invalid = || format!("{text:?} is not a size such as \"512B\", \"64KiB\" or \"1MiB\"");
    let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(invalid)?;
    let (number, unit) = text.split_at(split);
    let factor = SIZE_UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(invalid)?.1;
    let number: u64 = number.trim().parse().map_err(|_| invalid())?;
    number.checked_mul(factor).ok_or_else(invalid)
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text).map(Self).map_err(D::Error::custom)
    }
}

impl Serialize for TimeSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{}ms", self.0.as_millis()))
    }
}

impl<'de> Deserialize<'de> for ByteSize {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_size(&text).map(Self).map_err(D::Error::custom)
    }
}

impl Serialize for ByteSize {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{}B", self.0))
    }
}
