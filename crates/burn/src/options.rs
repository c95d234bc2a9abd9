//! Checks the command line once and reads the files it names.

use crate::cli::{BaobabfallBurn, BaobabfallBurnCmd, Record, Report, Thin};
use crate::error::BurnError;
use crate::objectives::ObjectiveSet;
use crate::scraper::Credential;
use crate::units::parse_duration;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Most routers that one process scrapes.
pub const TARGET_LIMIT: usize = 1000;

/// What to do, checked.
#[derive(Debug)]
pub struct BurnOptions {
    /// Routers to scrape and the credential for it.
    pub targets: ScrapeTargets,
    /// The command.
    pub command: BurnCommand,
}

/// Routers to scrape.
#[derive(Debug)]
pub struct ScrapeTargets {
    /// Addresses of the metrics.
    pub addresses: Vec<SocketAddr>,
    /// Bearer credential.
    pub credential: Option<Credential>,
}

/// The command and its own options.
#[derive(Debug)]
pub enum BurnCommand {
    /// Write a report.
    Report(ReportOptions),
    /// Record samples.
    Record(RecordOptions),
    /// Thin samples out.
    Thin(ThinOptions),
}

/// Time that a report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTime {
    /// The present.
    Now,
    /// The newest sample.
    Last,
    /// Unix milliseconds.
    At(u64),
}

/// Options of a report.
#[derive(Debug)]
pub struct ReportOptions {
    /// Objectives.
    pub set: ObjectiveSet,
    /// Files and folders of samples.
    pub samples: Vec<PathBuf>,
    /// Time of the report.
    pub at: ReportTime,
    /// Print JSON.
    pub json: bool,
    /// Page to write.
    pub html: Option<PathBuf>,
}

/// Options of a recording.
#[derive(Debug)]
pub struct RecordOptions {
    /// File to append to.
    pub out: PathBuf,
    /// Time between rounds.
    pub interval: Duration,
    /// Number of rounds, or endless.
    pub rounds: Option<u64>,
    /// Store the text instead of the compact form.
    pub raw: bool,
}

/// Options of thinning.
#[derive(Debug)]
pub struct ThinOptions {
    /// Files and folders of samples.
    pub samples: Vec<PathBuf>,
    /// New file.
    pub out: PathBuf,
    /// Longest period of the objectives.
    pub period: Duration,
}

fn usage<T>(argument: &'static str, message: impl Into<String>) -> Result<T, BurnError> {
    Err(BurnError::Usage { argument, message: message.into() })
}

impl BurnOptions {
    /// Checks parsed flags.
    pub fn check(flags: BaobabfallBurn) -> Result<Self, BurnError> {
        let mut addresses = Vec::new();
        for text in &flags.scrape {
            match text.parse::<SocketAddr>() {
                Ok(address) if !addresses.contains(&address) => addresses.push(address),
                Ok(address) => return usage("--scrape", format!("{address} stands twice.")),
                Err(_) => {
                    let message = format!(
                        "{text:?} is not an IP address with a port, such as 127.0.0.1:7001."
                    );
                    return usage("--scrape", message);
                }
            }
        }
        if addresses.len() > TARGET_LIMIT {
            return usage("--scrape", format!("At most {TARGET_LIMIT} routers are accepted."));
        }
        let credential = flags.credential.as_deref().map(Credential::load).transpose()?;
        let command = match flags.subcommand {
            BaobabfallBurnCmd::Report(report) => check_report(report, &addresses)?,
            BaobabfallBurnCmd::Record(record) => check_record(record, &addresses)?,
            BaobabfallBurnCmd::Thin(thin) => check_thin(thin)?,
        };
        Ok(Self { targets: ScrapeTargets { addresses, credential }, command })
    }
}

fn check_report(flags: Report, addresses: &[SocketAddr]) -> Result<BurnCommand, BurnError> {
    let Some(objectives) = flags.objectives else {
        return usage(
            "--objectives",
            "It is missing; name a file such as examples/objectives.toml.",
        );
    };
    if flags.samples.is_empty() && addresses.is_empty() {
        return usage("--samples", "It is missing; name recorded samples, or routers by --scrape.");
    }
    let at = match flags.at.as_deref() {
        None | Some("now") => ReportTime::Now,
        Some("last") => ReportTime::Last,
        Some(text) => match text.parse() {
            Ok(time) => ReportTime::At(time),
            Err(_) => {
                return usage(
                    "--at",
                    format!("{text:?} is unknown; accepted are now, last and unix milliseconds."),
                );
            }
        },
    };
    if at != ReportTime::Now && !addresses.is_empty() {
        return usage("--at", "With --scrape the report is about the present; leave --at out.");
    }
    Ok(BurnCommand::Report(ReportOptions {
        set: ObjectiveSet::load(&objectives)?,
        samples: flags.samples,
        at,
        json: flags.json,
        html: flags.html,
    }))
}

fn check_record(flags: Record, addresses: &[SocketAddr]) -> Result<BurnCommand, BurnError> {
    if addresses.is_empty() {
        return usage("--scrape", "It is missing; name at least one router to record.");
    }
    let interval = match flags.interval.as_deref().map(parse_duration) {
        None => Duration::from_secs(60),
        Some(Ok(interval)) if interval >= Duration::from_secs(1) => interval,
        Some(Ok(_)) => return usage("--interval", "The shortest interval is 1s."),
        Some(Err(message)) => return usage("--interval", message),
    };
    if flags.rounds == Some(0) {
        return usage("--rounds", "Accepted is a whole number from 1.");
    }
    Ok(BurnCommand::Record(RecordOptions {
        out: flags.out,
        interval,
        rounds: flags.rounds,
        raw: flags.raw,
    }))
}

fn check_thin(flags: Thin) -> Result<BurnCommand, BurnError> {
    if flags.samples.is_empty() {
        return usage("--samples", "It is missing; name a file or folder of recorded samples.");
    }
    let period = match flags.period.as_deref().map(parse_duration) {
        None => Duration::from_secs(30 * 86_400),
        Some(Ok(period)) => period,
        Some(Err(message)) => return usage("--period", message),
    };
    Ok(BurnCommand::Thin(ThinOptions { samples: flags.samples, out: flags.out, period }))
}
