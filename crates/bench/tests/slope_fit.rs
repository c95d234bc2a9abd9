//! Tests of the arithmetic that carries measured costs to other sizes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_bench::slope_fit::{SlopeFit, growth_over_logarithm, median};

/// Guards against a fit that swaps sizes and costs or weighs points unequally.
#[test]
fn through_points_off_a_line_gives_least_squares() {
    let fit = SlopeFit::through(&[(11.0, 10.0), (22.0, 40.0), (44.0, 50.0)]).unwrap();
    // Sums by hand: mean 77/3 and 100/3, spread 1694/3, shared product 3300/3 * 11/15.
    let slope =
        ((11.0 - 77.0 / 3.0) * 10.0 + (22.0 - 77.0 / 3.0) * 40.0 + (44.0 - 77.0 / 3.0) * 50.0)
            / (1694.0 / 3.0);
    assert!((fit.slope - slope).abs() < 1e-9, "{fit:?}");
    assert!((fit.at(77.0 / 3.0) - 100.0 / 3.0).abs() < 1e-9, "{fit:?}");
}

/// Guards against a slope that is made up from one size.
#[test]
fn through_one_size_is_refused() {
    assert_eq!(SlopeFit::through(&[(11.0, 10.0), (11.0, 20.0)]), None);
}

/// Guards against linear growth that passes as logarithmic.
#[test]
fn growth_over_logarithm_linear_is_above_one() {
    assert!(growth_over_logarithm(85.0, 1.0, 8500.0, 100.0) > 40.0);
    assert!(growth_over_logarithm(85.0, 1.0, 8500.0, 1.5) < 1.0);
    assert_eq!(median(&[9.0, 1.0, 5.0]), 5.0);
}
