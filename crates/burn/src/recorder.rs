//! Records samples: scrapes at an interval and appends JSON lines.

use crate::error::BurnError;
use crate::label_table::LabelTable;
use crate::metric_text::parse_text;
use crate::options::{RecordOptions, ScrapeTargets};
use crate::samples::{SampleLine, encode_series};
use crate::scraper::scrape_all;
use std::borrow::Cow;
use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::MissedTickBehavior;

/// Present unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, crate::units::millis)
}

/// Turns a scraped text into a sample line.
pub fn make_sample<'a>(
    time: u64,
    node: &'a str,
    text: &'a str,
    raw: bool,
    labels: &mut LabelTable,
) -> Result<SampleLine<'a>, String> {
    let scrape = parse_text(text, labels).map_err(|fault| fault.to_string())?;
    let inc = scrape.start_ms.unwrap_or(0);
    let mut sample = SampleLine {
        t: time,
        node: Cow::Borrowed(node),
        inc,
        text: None,
        series: None,
        start_ms: None,
        revision: None,
    };
    match encode_series(&scrape, labels).filter(|_| !raw) {
        Some(series) => {
            sample.series = Some(Cow::Owned(series));
            sample.start_ms = scrape.start_ms;
            sample.revision = scrape.revision;
        }
        None => sample.text = Some(Cow::Borrowed(text)),
    }
    Ok(sample)
}

/// Appends one sample as a line.
pub fn write_sample(out: &mut impl Write, sample: &SampleLine<'_>) -> std::io::Result<()> {
    serde_json::to_writer(&mut *out, sample)?;
    out.write_all(b"\n")
}

/// Opens a file for appending; a line that an earlier run left unfinished is ended.
fn open_append(file: &Path) -> std::io::Result<BufWriter<File>> {
    let mut out = OpenOptions::new().create(true).read(true).append(true).open(file)?;
    let mut last = [b'\n'];
    if out.metadata()?.len() > 0 {
        out.seek(SeekFrom::End(-1))?;
        out.read_exact(&mut last)?;
    }
    let mut out = BufWriter::new(out);
    if last != [b'\n'] {
        out.write_all(b"\n")?;
    }
    Ok(out)
}

/// Records until the rounds are done. A router that cannot be scraped is named
/// on standard error and has no sample in that round.
pub async fn record(targets: &ScrapeTargets, options: &RecordOptions) -> Result<(), BurnError> {
    let unwritable =
        |reason| BurnError::File { file: options.out.clone(), action: "written", reason };
    let mut out = open_append(&options.out).map_err(unwritable)?;
    let mut labels = LabelTable::default();
    let mut ticks = tokio::time::interval(options.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut round = 0;
    while options.rounds.is_none_or(|rounds| round < rounds) {
        ticks.tick().await;
        round += 1;
        let time = unix_ms();
        let mut written = Ok(());
        scrape_all(targets, |(address, result)| {
            let node = address.to_string();
            let sample = result
                .as_deref()
                .map_err(Clone::clone)
                .and_then(|text| make_sample(time, &node, text, options.raw, &mut labels));
            match sample {
                Ok(sample) if written.is_ok() => written = write_sample(&mut out, &sample),
                Ok(_) => {}
                Err(reason) => eprintln!("The router {node} has no sample in this round. {reason}"),
            }
        })
        .await;
        written.and_then(|()| out.flush()).map_err(unwritable)?;
    }
    Ok(())
}
