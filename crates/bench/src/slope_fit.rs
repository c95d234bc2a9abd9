//! Straight lines through measured points, and what they give at another size.

/// A measured point: size and cost.
pub type SizePoint = (f64, f64);

/// Line of least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// Cost at size zero.
    pub base: f64,
    /// Cost per unit of size.
    pub slope: f64,
}

impl SlopeFit {
    /// Fits a line; `None` with fewer than two different sizes.
    ///
    /// ```
    /// use baobabfall_bench::slope_fit::SlopeFit;
    /// let fit = SlopeFit::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).unwrap();
    /// assert_eq!((fit.base, fit.slope), (1.0, 2.0));
    /// ```
    pub fn through(points: &[SizePoint]) -> Option<Self> {
        let count = points.iter().fold(0.0, |count, _| count + 1.0);
        let mean = |value: fn(&SizePoint) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (size, cost) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - size).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let shared: f64 = points.iter().map(|point| (point.0 - size) * (point.1 - cost)).sum();
        let slope = shared / spread;
        Some(Self { base: cost - slope * size, slope })
    }

    /// Cost at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// The middle of the values, by size; zero without values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Factor from the first to the last cost over the factor that growth with the
/// logarithm of the size would give; at most 1 is logarithmic growth.
///
/// ```
/// use baobabfall_bench::slope_fit::growth_over_logarithm;
/// assert!((growth_over_logarithm(10.0, 2.0, 1000.0, 6.0) - 1.0).abs() < 1e-12);
/// ```
pub fn growth_over_logarithm(size: f64, cost: f64, last_size: f64, last_cost: f64) -> f64 {
    (last_cost / cost) / (last_size.ln() / size.ln())
}
