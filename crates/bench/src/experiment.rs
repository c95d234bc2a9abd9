//! Results of experiments: figures, baselines, targets.

use serde_json::{Map, Value, json};

/// One measured number.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredFigure {
    /// What is measured.
    pub name: String,
    /// The number.
    pub value: f64,
    /// Unit, such as `ms`.
    pub unit: &'static str,
}

/// Bound that a target sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetBound {
    /// The figure must not be larger.
    AtMost(f64),
    /// The figure must not be smaller.
    AtLeast(f64),
}

/// A target and the figure that is held against it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCheck {
    /// The figure.
    pub figure: MeasuredFigure,
    /// Its bound.
    pub bound: TargetBound,
}

impl TargetCheck {
    /// True when the bound holds; a figure that is not a number never passes.
    pub fn pass(&self) -> bool {
        match self.bound {
            TargetBound::AtMost(limit) => self.figure.value <= limit,
            TargetBound::AtLeast(limit) => self.figure.value >= limit,
        }
    }
}

/// Result of one experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentResult {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Figures of the fleet.
    pub figures: Vec<MeasuredFigure>,
    /// Figures of the baseline in the same run.
    pub baseline: Vec<MeasuredFigure>,
    /// Targets.
    pub targets: Vec<TargetCheck>,
}

impl ExperimentResult {
    /// A result without figures.
    pub fn new(experiment: &'static str, seed: u64) -> Self {
        Self { experiment, seed, figures: Vec::new(), baseline: Vec::new(), targets: Vec::new() }
    }

    /// Adds a figure of the fleet.
    pub fn figure(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(MeasuredFigure { name: name.into(), value, unit });
    }

    /// Adds a figure of the baseline.
    pub fn baseline(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.baseline.push(MeasuredFigure { name: name.into(), value, unit });
    }

    /// Adds a target with its figure.
    pub fn target(
        &mut self,
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: TargetBound,
    ) {
        let figure = MeasuredFigure { name: name.into(), value, unit };
        self.targets.push(TargetCheck { figure, bound });
    }

    /// True when there are targets and all are met.
    pub fn pass(&self) -> bool {
        !self.targets.is_empty() && self.targets.iter().all(TargetCheck::pass)
    }

    /// The result as one line of JSON.
    pub fn to_json_line(&self) -> String {
        let object = |figures: &[MeasuredFigure]| -> Map<String, Value> {
            figures
                .iter()
                .map(|figure| {
                    (figure.name.clone(), json!({ "value": figure.value, "unit": figure.unit }))
                })
                .collect()
        };
        let targets: Map<String, Value> = self
            .targets
            .iter()
            .map(|target| {
                let (kind, limit) = match target.bound {
                    TargetBound::AtMost(limit) => ("at_most", limit),
                    TargetBound::AtLeast(limit) => ("at_least", limit),
                };
                let value = json!({
                    "value": target.figure.value,
                    "unit": target.figure.unit,
                    kind: limit,
                    "pass": target.pass(),
                });
                (target.figure.name.clone(), value)
            })
            .collect();
        json!({
            "experiment": self.experiment,
            "seed": self.seed,
            "figures": object(&self.figures),
            "baseline": object(&self.baseline),
            "target": targets,
            "pass": self.pass(),
        })
        .to_string()
    }

    /// The result as a table for a person.
    pub fn to_table(&self) -> String {
        let mut text = format!("experiment {}, seed {}\n", self.experiment, self.seed);
        for (title, figures) in [("measured", &self.figures), ("baseline", &self.baseline)] {
            for figure in figures {
                text.push_str(&row(title, figure, ""));
            }
        }
        for target in &self.targets {
            let (sign, limit) = match target.bound {
                TargetBound::AtMost(limit) => ("at most", limit),
                TargetBound::AtLeast(limit) => ("at least", limit),
            };
            let verdict = if target.pass() { "met" } else { "MISSED" };
            text.push_str(&row("target", &target.figure, &format!("{sign} {limit}: {verdict}")));
        }
        text.push_str(if self.pass() { "all targets met\n" } else { "targets missed\n" });
        text
    }
}

fn row(title: &str, figure: &MeasuredFigure, note: &str) -> String {
    let line =
        format!("{title:9} {:44} {:>14.3} {:9} {note}", figure.name, figure.value, figure.unit);
    format!("{}\n", line.trim_end())
}
