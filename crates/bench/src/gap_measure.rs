//! Fairness gap between workspaces, from samples of the service they received.

/// Service of every workspace at one moment, in tokens.
pub type ServiceSample = Vec<f64>;

/// Parts of the bound of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundTerms {
    /// Weight.
    pub weight: f64,
    /// Most requests that run at once.
    pub concurrency: f64,
}

/// The largest gap and the largest ratio of a gap to its bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GapFigures {
    /// Largest gap of weighted service over all pairs and intervals, in tokens.
    pub gap: f64,
    /// Largest gap divided by the bound of its pair.
    pub ratio: f64,
}

/// Measures the gap over all intervals between samples.
///
/// `S_i/w_i - S_j/w_j` over an interval is the difference of two values of
/// one curve, so its largest size over all intervals is the range of the
/// curve. `excess` is `L + r d` of the bound: the largest cost of a request
/// and the tokens that one stream gives within a report interval.
///
/// ```
/// use baobabfall_bench::gap_measure::{BoundTerms, measure_gap};
/// let terms = [BoundTerms { weight: 1.0, concurrency: 2.0 }, BoundTerms { weight: 2.0, concurrency: 2.0 }];
/// let samples = [vec![0.0, 0.0], vec![10.0, 4.0], vec![10.0, 20.0]];
/// let figures = measure_gap(&samples, &terms, 4.0);
/// assert_eq!(figures.gap, 8.0);
/// assert_eq!(figures.ratio, 8.0 / 12.0);
/// ```
pub fn measure_gap(samples: &[ServiceSample], terms: &[BoundTerms], excess: f64) -> GapFigures {
    let mut figures = GapFigures::default();
    for (i, first) in terms.iter().enumerate() {
        for (j, second) in terms.iter().enumerate().skip(i + 1) {
            let curve =
                samples.iter().map(|sample| sample[i] / first.weight - sample[j] / second.weight);
            let (low, high) = curve
                .fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
                    (low.min(value), high.max(value))
                });
            let gap = (high - low).max(0.0);
            let bound =
                excess * (first.concurrency / first.weight + second.concurrency / second.weight);
            figures.gap = figures.gap.max(gap);
            figures.ratio = figures.ratio.max(gap / bound);
        }
    }
    figures
}
