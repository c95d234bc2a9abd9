//! Durations with units, as settings and reports write them.

pub use baobabfall_node::units::{millis, to_float};
use std::time::Duration;

/// Reads a positive duration such as `1.9s`, `26ms`, `5min`, `6h` or `30d`.
///
/// ```
/// use baobabfall_burn::units::parse_duration;
/// use std::time::Duration;
/// assert_eq!(parse_duration("26ms"), Ok(Duration::from_millis(26)));
/// assert!(parse_duration("0s").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    match baobabfall_node::units::parse_duration(text)? {
        Duration::ZERO => Err(format!("{text:?} is not a positive duration, such as \"1.9s\".")),
        duration => Ok(duration),
    }
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
