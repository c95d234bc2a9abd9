//! Service-level objectives and their settings file.

use crate::burn_rate::RULE_WINDOWS;
use crate::error::BurnError;
use crate::node_scrape::{COMPLETENESS, MetricFamily, RATIO_SCALE};
use crate::units::{format_duration, millis, parse_duration};
use serde::Deserialize;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// Shortest accepted sample interval; the shortest window has five minutes.
const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest accepted period.
const LONGEST_PERIOD: Duration = Duration::from_secs(400 * 86_400);

/// What makes an event good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GoodRule {
    /// Histogram: at most this many seconds.
    WithinSeconds(f64),
    /// Responses of these kinds, by position in [`COMPLETENESS`], are bad.
    NotBroken([bool; COMPLETENESS.len()]),
    /// Requests that finished; cancelled ones do not count.
    Finished,
    /// Gauge: at most this many millionths.
    RatioAtMost(u64),
}

/// One objective.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceObjective {
    /// Section of the settings file.
    pub name: &'static str,
    /// What it says, for people.
    pub title: String,
    /// Metric that it is measured by.
    pub family: MetricFamily,
    /// What makes an event good.
    pub rule: GoodRule,
    /// Share of events that must be good, above 0 and at most 1.
    pub target: f64,
    /// Time over which the budget counts.
    pub period: Duration,
    /// True when every workspace and model is judged as well as the fleet.
    pub each_workspace: bool,
}

/// Objectives and the settings of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveSet {
    /// Objectives in the order of the report.
    pub objectives: Vec<ServiceObjective>,
    /// Time between samples of one node.
    pub sample_interval: Duration,
    /// Coverage below which a window is marked.
    pub min_coverage: f64,
    /// Events below which a window of one workspace raises no alert.
    pub min_events: u64,
    /// Number of expected nodes, or `None` for those seen.
    pub nodes: Option<u64>,
}

impl ObjectiveSet {
    /// Longest window in milliseconds.
    pub fn longest_ms(&self) -> u64 {
        let longest = self.objectives.iter().map(|objective| millis(objective.period)).max();
        longest.unwrap_or(0).max(millis(RULE_WINDOWS[RULE_WINDOWS.len() - 1]))
    }

    /// Reads the settings file.
    pub fn load(file: &Path) -> Result<Self, BurnError> {
        let text = std::fs::read_to_string(file).map_err(|reason| BurnError::File {
            file: file.to_path_buf(),
            action: "read",
            reason,
        })?;
        Self::parse(&text, file)
    }

    /// Reads settings from text; `file` is named in errors.
    ///
    /// ```
    /// use baobabfall_burn::objectives::ObjectiveSet;
    /// let text = "[availability]\ntarget = 0.999\nperiod = \"30d\"\n";
    /// let set = ObjectiveSet::parse(text, "objectives.toml".as_ref()).unwrap();
    /// assert_eq!(set.objectives[0].name, "availability");
    /// ```
    pub fn parse(text: &str, file: &Path) -> Result<Self, BurnError> {
        let source = Source { text, file };
        let document: Document = toml::from_str(text).map_err(|error| {
            source.fault(error.span().unwrap_or(0..0), None, sentence(error.message()))
        })?;
        let report = document.report.unwrap_or_default();
        let set = Self {
            sample_interval: source.sample_interval(report.sample_interval.as_ref())?,
            min_coverage: source.share("report.min_coverage", report.min_coverage.as_ref(), 0.8)?,
            min_events: source
                .positive("report.min_events", report.min_events.as_ref())?
                .unwrap_or(100),
            nodes: source.positive("report.nodes", report.nodes.as_ref())?,
            objectives: source.objectives(
                document.first_token,
                document.token_gap,
                document.complete,
                document.availability,
                document.edit_in_force,
                document.fairness,
            )?,
        };
        if set.objectives.is_empty() {
            let message = "There is no objective; accepted sections are first_token, token_gap, complete, availability, edit_in_force and fairness.";
            return Err(source.fault(0..0, Some("objectives"), message.to_owned()));
        }
        Ok(set)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    report: Option<ReportSection>,
    first_token: Option<LatencySection>,
    token_gap: Option<LatencySection>,
    complete: Option<CompleteSection>,
    availability: Option<AvailabilitySection>,
    edit_in_force: Option<LatencySection>,
    fairness: Option<FairnessSection>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReportSection {
    sample_interval: Option<Spanned<String>>,
    min_coverage: Option<Spanned<f64>>,
    min_events: Option<Spanned<i64>>,
    nodes: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LatencySection {
    threshold: Spanned<String>,
    target: Spanned<f64>,
    period: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CompleteSection {
    bad: Spanned<Vec<Spanned<String>>>,
    target: Spanned<f64>,
    period: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AvailabilitySection {
    #[serde(default)]
    each_workspace: bool,
    target: Spanned<f64>,
    period: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FairnessSection {
    limit: Spanned<f64>,
    target: Spanned<f64>,
    period: Spanned<String>,
}

/// Text of the settings file, for errors with line and key.
struct Source<'a> {
    text: &'a str,
    file: &'a Path,
}

impl Source<'_> {
    fn fault(&self, span: Range<usize>, key: Option<&str>, message: String) -> BurnError {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let key = key.map_or_else(|| self.key_at(line), str::to_owned);
        BurnError::Settings { file: self.file.to_path_buf(), line, key, message }
    }

    /// Dotted key that stands in a line.
    fn key_at(&self, line: usize) -> String {
        let lines: Vec<&str> = self.text.lines().take(line).map(str::trim).collect();
        let current = lines.last().copied().unwrap_or_default();
        let section = lines.iter().rev().find_map(|line| line.strip_prefix('['));
        let section = section.and_then(|rest| rest.split(']').next()).unwrap_or_default();
        if current.starts_with('[') {
            return section.to_owned();
        }
        let key = current.split('=').next().unwrap_or_default().trim();
        if section.is_empty() { key.to_owned() } else { format!("{section}.{key}") }
    }

    fn duration(&self, key: &str, text: &Spanned<String>) -> Result<Duration, BurnError> {
        parse_duration(text.get_ref())
            .map_err(|message| self.fault(text.span(), Some(key), message))
    }

    fn sample_interval(&self, text: Option<&Spanned<String>>) -> Result<Duration, BurnError> {
        let key = "report.sample_interval";
        let Some(text) = text else { return Ok(Duration::from_secs(60)) };
        let interval = self.duration(key, text)?;
        if !(SHORTEST_INTERVAL..=RULE_WINDOWS[0]).contains(&interval) {
            let message = "Accepted is 1s to 5min, because the shortest window has 5 minutes.";
            return Err(self.fault(text.span(), Some(key), message.to_owned()));
        }
        Ok(interval)
    }

    fn period(&self, section: &str, text: &Spanned<String>) -> Result<Duration, BurnError> {
        let key = format!("{section}.period");
        let period = self.duration(&key, text)?;
        let shortest = RULE_WINDOWS[RULE_WINDOWS.len() - 1];
        if !(shortest..=LONGEST_PERIOD).contains(&period) {
            let message = format!(
                "Accepted is {} to {}.",
                format_duration(shortest),
                format_duration(LONGEST_PERIOD)
            );
            return Err(self.fault(text.span(), Some(&key), message));
        }
        Ok(period)
    }

    fn share(
        &self,
        key: &str,
        value: Option<&Spanned<f64>>,
        default: f64,
    ) -> Result<f64, BurnError> {
        let Some(value) = value else { return Ok(default) };
        let share = *value.get_ref();
        if share > 0.0 && share <= 1.0 {
            return Ok(share);
        }
        let message =
            format!("{share} is not a share; accepted is above 0 and at most 1, such as 0.95.");
        Err(self.fault(value.span(), Some(key), message))
    }

    fn positive(&self, key: &str, value: Option<&Spanned<i64>>) -> Result<Option<u64>, BurnError> {
        let Some(value) = value else { return Ok(None) };
        match u64::try_from(*value.get_ref()) {
            Ok(count) if (1..=1_000_000).contains(&count) => Ok(Some(count)),
            _ => {
                let message = "Accepted is a whole number of 1 to 1000000.".to_owned();
                Err(self.fault(value.span(), Some(key), message))
            }
        }
    }

    fn target(&self, section: &str, target: &Spanned<f64>) -> Result<f64, BurnError> {
        self.share(&format!("{section}.target"), Some(target), 1.0)
    }

    fn objectives(
        &self,
        first_token: Option<LatencySection>,
        token_gap: Option<LatencySection>,
        complete: Option<CompleteSection>,
        availability: Option<AvailabilitySection>,
        edit_in_force: Option<LatencySection>,
        fairness: Option<FairnessSection>,
    ) -> Result<Vec<ServiceObjective>, BurnError> {
        use MetricFamily::{EditInForce, FirstToken, TokenGap};
        let latency = |family, title, section: Option<LatencySection>| {
            section.map(|section| self.latency(family, title, &section)).transpose()
        };
        let objectives = [
            latency(FirstToken, "First token", first_token)?,
            latency(TokenGap, "Gap between tokens", token_gap)?,
            complete.map(|section| self.complete(&section)).transpose()?,
            availability.map(|section| self.availability(&section)).transpose()?,
            latency(EditInForce, "Edit in force", edit_in_force)?,
            fairness.map(|section| self.fairness(&section)).transpose()?,
        ];
        Ok(objectives.into_iter().flatten().collect())
    }

    fn latency(
        &self,
        family: MetricFamily,
        title: &str,
        section: &LatencySection,
    ) -> Result<ServiceObjective, BurnError> {
        let name = family.code();
        let threshold = self.duration(&format!("{name}.threshold"), &section.threshold)?;
        Ok(ServiceObjective {
            name,
            title: format!("{title} within {}", format_duration(threshold)),
            family,
            rule: GoodRule::WithinSeconds(threshold.as_secs_f64()),
            target: self.target(name, &section.target)?,
            period: self.period(name, &section.period)?,
            each_workspace: false,
        })
    }

    fn complete(&self, section: &CompleteSection) -> Result<ServiceObjective, BurnError> {
        let mut bad = [false; COMPLETENESS.len()];
        for kind in section.bad.get_ref() {
            let position = COMPLETENESS.iter().skip(1).position(|name| name == kind.get_ref());
            let Some(position) = position else {
                let message = format!(
                    "{:?} is unknown; accepted are \"broken_with_error\" and \"short\".",
                    kind.get_ref()
                );
                return Err(self.fault(kind.span(), Some("complete.bad"), message));
            };
            bad[position + 1] = true;
        }
        if !bad.contains(&true) {
            let message = "The list is empty; accepted are \"broken_with_error\" and \"short\".";
            return Err(self.fault(section.bad.span(), Some("complete.bad"), message.to_owned()));
        }
        Ok(ServiceObjective {
            name: "complete",
            title: if bad[1] { "Whole responses" } else { "No silently short responses" }
                .to_owned(),
            family: MetricFamily::Answers,
            rule: GoodRule::NotBroken(bad),
            target: self.target("complete", &section.target)?,
            period: self.period("complete", &section.period)?,
            each_workspace: false,
        })
    }

    fn availability(&self, section: &AvailabilitySection) -> Result<ServiceObjective, BurnError> {
        Ok(ServiceObjective {
            name: "availability",
            title: "Availability".to_owned(),
            family: MetricFamily::Requests,
            rule: GoodRule::Finished,
            target: self.target("availability", &section.target)?,
            period: self.period("availability", &section.period)?,
            each_workspace: section.each_workspace,
        })
    }

    fn fairness(&self, section: &FairnessSection) -> Result<ServiceObjective, BurnError> {
        let limit = *section.limit.get_ref();
        if !(0.01..=1000.0).contains(&limit) {
            let message = "Accepted is a ratio of 0.01 to 1000; 1.0 is the stated bound.";
            return Err(self.fault(
                section.limit.span(),
                Some("fairness.limit"),
                message.to_owned(),
            ));
        }
        let millionths = format!("{:.0}", limit * RATIO_SCALE).parse().unwrap_or(u64::MAX);
        Ok(ServiceObjective {
            name: "fairness",
            title: "Fairness gap within its bound".to_owned(),
            family: MetricFamily::FairnessGap,
            rule: GoodRule::RatioAtMost(millionths),
            target: self.target("fairness", &section.target)?,
            period: self.period("fairness", &section.period)?,
            each_workspace: false,
        })
    }
}

fn sentence(message: &str) -> String {
    let mut letters = message.chars();
    let first = letters.next().map(|c| c.to_uppercase().to_string()).unwrap_or_default();
    format!("{first}{}.", letters.as_str().trim_end().trim_end_matches('.').replace('\n', "; "))
}
