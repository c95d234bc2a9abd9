//! Durations with units, as settings and reports write them.

use std::time::Duration;

const UNITS: [(&str, f64); 5] =
    [("ms", 0.001), ("min", 60.0), ("s", 1.0), ("h", 3600.0), ("d", 86_400.0)];
/// Longest duration that is accepted, in seconds (ten years).
const LONGEST_S: f64 = 315_360_000.0;

/// Reads a duration such as `1.9s`, `26ms`, `5min`, `6h` or `30d`.
///
/// ```
/// use baobabfall_burn::units::parse_duration;
/// use std::time::Duration;
/// assert_eq!(parse_duration("26ms"), Ok(Duration::from_millis(26)));
/// assert!(parse_duration("26").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let refusal = || {
        format!(
            "{text:?} is not a duration; accepted is a positive number with one of the units ms, s, min, h, d, such as \"1.9s\"."
        )
    };
    let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(refusal)?;
    let (number, unit) = text.split_at(split);
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let scale = UNITS.iter().find(|(name, _)| *name == unit).map(|(_, scale)| *scale);
    let (Some(scale), true, Ok(number)) = (scale, plain, number.parse::<f64>()) else {
        return Err(refusal());
    };
    let seconds = number * scale;
    if seconds <= 0.0 || seconds > LONGEST_S {
        return Err(refusal());
    }
    Ok(Duration::from_secs_f64(seconds))
}

/// Writes a duration with the largest unit that keeps it short.
///
/// ```
/// use baobabfall_burn::units::format_duration;
/// use std::time::Duration;
/// assert_eq!(format_duration(Duration::from_secs(300)), "5 min");
/// assert_eq!(format_duration(Duration::from_millis(1900)), "1.9 s");
/// ```
pub fn format_duration(duration: Duration) -> String {
    let seconds = duration.as_secs_f64();
    let whole = duration.as_secs();
    let exact = duration.subsec_nanos() == 0 && whole > 0;
    match whole {
        _ if exact && whole.is_multiple_of(86_400) => format!("{} d", whole / 86_400),
        _ if exact && whole.is_multiple_of(3600) => format!("{} h", whole / 3600),
        _ if exact && whole.is_multiple_of(60) => format!("{} min", whole / 60),
        0 => format!("{} ms", round_to(seconds * 1000.0, 3)),
        _ => format!("{} s", round_to(seconds, 3)),
    }
}

fn round_to(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}

/// Milliseconds of a duration, at most `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Nearest float of a count; exact up to 2^53, which no counter here passes.
pub fn to_float(count: u64) -> f64 {
    let high = u32::try_from(count >> 32).unwrap_or(u32::MAX);
    let low = u32::try_from(count & 0xffff_ffff).unwrap_or(u32::MAX);
    f64::from(high) * 4_294_967_296.0 + f64::from(low)
}
