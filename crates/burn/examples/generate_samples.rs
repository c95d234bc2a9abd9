//! Writes generated samples of a fleet at target size, for measurements.
//!
//! `cargo run --release -p baobabfall-burn --example generate_samples -- FILE history|live|wide`:
//! `history` writes 30 days in the compact form, thinned as far as the windows
//! allow; `live` writes two scrapes per router as text; `wide` writes three
//! rounds in which every router has labels of every workspace.

use baobabfall_burn::sample_generator::{FleetShape, SampleForm, SampleGenerator, thinned_times};
use std::io::{BufWriter, Error, ErrorKind, Write};
use std::time::Duration;

const MINUTE: Duration = Duration::from_secs(60);
const PERIOD: Duration = Duration::from_secs(30 * 86_400);
/// 2026-12-03 12:13:20 UTC.
const END_MS: u64 = 1_796_300_000_000;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [file, kind] = arguments.as_slice() else {
        return Err(Error::new(
            ErrorKind::InvalidInput,
            "Usage: generate_samples FILE history|live",
        ));
    };
    let mut out = BufWriter::new(std::fs::File::create(file)?);
    let (form, times) = match kind.as_str() {
        "live" => (SampleForm::Text, vec![END_MS - 60_000, END_MS]),
        _ => (SampleForm::Series, thinned_times(END_MS, MINUTE, PERIOD)),
    };
    let (times, workspaces_per_node) = match kind.as_str() {
        "wide" => (vec![END_MS - 120_000, END_MS - 60_000, END_MS], 850),
        _ => (times, FleetShape::target_size().workspaces_per_node),
    };
    let start = times.first().map_or(END_MS, |time| time - 60_000);
    let shape = FleetShape { workspaces_per_node, ..FleetShape::target_size() };
    let mut generator = SampleGenerator::new(shape, start);
    for time in times {
        // The last half hour is slow, and some responses are refused.
        let fault = END_MS - time < 30 * 60_000;
        generator.faults.slow = if fault { 0.5 } else { 0.01 };
        generator.faults.refused = if fault { 0.004 } else { 0.0003 };
        generator.write_round(time, form, &mut out)?;
    }
    out.flush()
}
