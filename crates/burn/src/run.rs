//! Runs the command that the options name.

use crate::error::BurnError;
use crate::fleet_merge::FleetMerge;
use crate::html_report::render_html;
use crate::options::{BurnCommand, BurnOptions, ReportOptions, ReportTime, ScrapeTargets};
use crate::parallel_merge::merge_files;
use crate::recorder::{make_sample, record, unix_ms};
use crate::report::{FleetReport, FleetVerdict};
use crate::samples::{last_time, sample_files};
use crate::scraper::scrape_all;
use crate::text_report::render_text;
use crate::thinner::thin_files;
use std::io::Write;
use std::path::{Path, PathBuf};
use tokio::runtime::{Builder, Runtime};

/// Runs a command; a recording or thinning that ends is a success.
pub fn run(options: &BurnOptions) -> Result<FleetVerdict, BurnError> {
    match &options.command {
        BurnCommand::Record(record_options) => {
            runtime()?.block_on(record(&options.targets, record_options))?;
            Ok(FleetVerdict::WithinBudget)
        }
        BurnCommand::Thin(thin_options) => {
            let files = list_files(&thin_options.samples)?;
            thin_files(&files, thin_options, newest(&files)?)?;
            Ok(FleetVerdict::WithinBudget)
        }
        BurnCommand::Report(report_options) => {
            let report = build_report(report_options, &options.targets)?;
            write_report(&report, report_options)?;
            Ok(report.verdict)
        }
    }
}

fn runtime() -> Result<Runtime, BurnError> {
    Builder::new_current_thread().enable_all().build().map_err(BurnError::Runtime)
}

fn unreadable(file: &Path) -> impl FnOnce(std::io::Error) -> BurnError {
    let file = file.to_path_buf();
    move |reason| BurnError::File { file, action: "read", reason }
}

/// Merges recorded samples and scraped metrics into a report.
pub fn build_report(
    options: &ReportOptions,
    targets: &ScrapeTargets,
) -> Result<FleetReport, BurnError> {
    let files = list_files(&options.samples)?;
    if files.is_empty() && targets.addresses.is_empty() {
        return Err(BurnError::NoData("the folder holds no .jsonl file.".to_owned()));
    }
    let now = match options.at {
        ReportTime::Now => unix_ms(),
        ReportTime::At(time) => time,
        ReportTime::Last => newest(&files)?,
    };
    let mut merge = merge_files(&options.set, now, &files)?;
    if !targets.addresses.is_empty() {
        runtime()?.block_on(add_scrapes(&mut merge, targets));
    }
    Ok(FleetReport::build(&options.set, &merge))
}

fn list_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, BurnError> {
    let mut files = Vec::new();
    for path in paths {
        files.extend(sample_files(path).map_err(unreadable(path))?);
    }
    Ok(files)
}

fn newest(files: &[PathBuf]) -> Result<u64, BurnError> {
    let mut newest = None;
    for file in files {
        newest = newest.max(last_time(file).map_err(unreadable(file))?);
    }
    newest.ok_or_else(|| BurnError::NoData("no line of the files is a sample.".to_owned()))
}

async fn add_scrapes(merge: &mut FleetMerge, targets: &ScrapeTargets) {
    let now = merge.now();
    for address in &targets.addresses {
        merge.expect_node(&address.to_string());
    }
    scrape_all(targets, |(address, result)| {
        let node = address.to_string();
        let mut scratch = crate::label_table::LabelTable::default();
        let sample = result
            .as_deref()
            .map_err(Clone::clone)
            .and_then(|text| make_sample(now, &node, text, true, &mut scratch));
        match sample {
            Ok(sample) => merge.add_sample(&sample),
            Err(reason) => merge.refuse(format!("The router {node}: {reason}")),
        }
    })
    .await;
}

fn write_report(report: &FleetReport, options: &ReportOptions) -> Result<(), BurnError> {
    if let Some(file) = &options.html {
        std::fs::write(file, render_html(report)?).map_err(|reason| BurnError::File {
            file: file.clone(),
            action: "written",
            reason,
        })?;
    }
    let text = if options.json { report.to_json() + "\n" } else { render_text(report) };
    std::io::stdout().lock().write_all(text.as_bytes()).map_err(|reason| BurnError::File {
        file: PathBuf::from("standard output"),
        action: "written",
        reason,
    })
}
