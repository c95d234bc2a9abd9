//! Plots over time as SVG, drawn by `plotters` with SVG text elements.

use crate::burn_rate::EventTally;
use crate::error::BurnError;
use crate::objective_tally::PLOT_POINTS;
use crate::units::to_float;
use plotters::prelude::*;

const SIZE: (u32, u32) = (520, 200);
const LINE: RGBColor = RGBColor(31, 95, 166);
const PAGE_LINE: RGBColor = RGBColor(192, 57, 43);
const TICKET_LINE: RGBColor = RGBColor(200, 130, 20);
const GRID: RGBColor = RGBColor(225, 228, 232);
const TEXT: RGBColor = RGBColor(80, 88, 98);

/// One curve over time with horizontal marks. Points are (time before the
/// report, value); `None` is a gap.
pub struct TimePlot {
    /// Values, oldest first.
    pub points: Vec<Option<f64>>,
    /// Length of the time axis in `unit`.
    pub span: f64,
    /// Unit of the time axis.
    pub unit: &'static str,
    /// Horizontal lines: value, and whether it is a paging rule.
    pub marks: Vec<(f64, bool)>,
    /// True when values are shares, shown as percentages.
    pub shares: bool,
    /// Lowest value of the axis.
    pub floor: f64,
    /// Highest value that the axis shows at least.
    pub ceiling: f64,
}

impl TimePlot {
    /// Burn rate over the last 6 h; bad events where no error is allowed.
    pub fn recent_burn(recent: &[EventTally], target: f64) -> Self {
        let value = |tally: &EventTally| match tally.burn(target) {
            Some(burn) if burn.is_finite() => Some(burn),
            Some(_) => Some(to_float(tally.bad())),
            None => None,
        };
        let marks = if target < 1.0 { vec![(6.0, true), (1.0, false)] } else { Vec::new() };
        Self {
            points: recent.iter().rev().map(value).collect(),
            span: 6.0,
            unit: "h",
            marks,
            shares: false,
            floor: 0.0,
            ceiling: 1.5,
        }
    }

    /// Share of the budget left over the period; bad events so far where no
    /// error is allowed. Bins without events are gaps. `seen` is the share of
    /// the period that the events stand for, as in [`EventTally::budget_left`].
    pub fn budget(long: &[EventTally], target: f64, seen: f64, days: f64) -> Self {
        let total: u64 = long.iter().map(|tally| tally.total).sum();
        let allowed = to_float(total) * (1.0 - target) / seen.max(1e-9);
        let mut bad = 0;
        let mut lowest = 0.0_f64;
        let mut points = Vec::with_capacity(long.len());
        for tally in long.iter().rev() {
            bad += tally.bad();
            let value = if target < 1.0 && allowed > 0.0 {
                (1.0 - to_float(bad) / allowed).max(-1.0)
            } else {
                to_float(bad)
            };
            lowest = lowest.min(value);
            points.push((tally.total > 0).then_some(value));
        }
        Self {
            points,
            span: days,
            unit: "d",
            marks: vec![(0.0, true)],
            shares: target < 1.0,
            floor: if lowest < 0.0 { -1.0 } else { 0.0 },
            ceiling: 1.0,
        }
    }

    /// Draws the plot as an SVG element.
    pub fn to_svg(&self) -> Result<String, BurnError> {
        let mut out = String::new();
        self.draw(SVGBackend::with_string(&mut out, SIZE))
            .map_err(|error| BurnError::Plot(error.to_string()))?;
        let size = format!("width=\"{}\" height=\"{}\"", SIZE.0, SIZE.1);
        Ok(out.replacen(&size, "role=\"img\"", 1))
    }

    fn draw<B: DrawingBackend>(
        &self,
        backend: B,
    ) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
        let root = backend.into_drawing_area();
        let highest = self.points.iter().flatten().copied().fold(self.ceiling, f64::max);
        let top = highest + (highest - self.floor) * 0.08;
        let mut chart = ChartBuilder::on(&root)
            .margin(6)
            .margin_right(14)
            .x_label_area_size(30)
            .y_label_area_size(52)
            .build_cartesian_2d(-self.span..0.0, self.floor..top)?;
        let unit = self.unit;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(GRID)
            .axis_style(GRID)
            .x_labels(7)
            .y_labels(5)
            .label_style(("sans-serif", 15).into_font().color(&TEXT))
            .x_label_formatter(&|time| {
                if *time > -0.001 { "now".to_owned() } else { format!("{time:.0} {unit}") }
            })
            .y_label_formatter(&|value| {
                if self.shares { format!("{:.0}%", value * 100.0) } else { format_tick(*value) }
            })
            .draw()?;
        for (value, page) in self.marks.iter().filter(|(value, _)| *value <= top) {
            let color = if *page { PAGE_LINE } else { TICKET_LINE };
            let ends = [(-self.span, *value), (0.0, *value)];
            chart.draw_series(LineSeries::new(ends, color.stroke_width(1)))?;
        }
        for segment in self.segments() {
            if let [point] = segment.as_slice() {
                chart.draw_series([Circle::new(*point, 2, LINE.filled())])?;
            } else {
                chart.draw_series(LineSeries::new(segment, LINE.stroke_width(2)))?;
            }
        }
        root.present()
    }

    /// Runs of points without gaps.
    fn segments(&self) -> Vec<Vec<(f64, f64)>> {
        let width = self.span / to_float(u64::try_from(PLOT_POINTS).unwrap_or(1));
        let mut segments = vec![Vec::new()];
        let mut time = -self.span + width / 2.0;
        for point in &self.points {
            match (point, segments.last_mut()) {
                (Some(value), Some(segment)) => segment.push((time, *value)),
                _ => segments.push(Vec::new()),
            }
            time += width;
        }
        segments.retain(|segment| !segment.is_empty());
        segments
    }
}

fn format_tick(value: f64) -> String {
    if value.abs() >= 10.0 || value.fract().abs() < 1e-9 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}
