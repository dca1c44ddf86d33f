//! SVG plots of one scenario: latency quantiles and coverage by second, with the fault marked.

use crate::experiment::file::Variant;
use crate::load::recorder::Totals;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tansylead_types::StepError;

const SIZE: (u32, u32) = (860, 560);
const LATENCY_SHARE_OF_HEIGHT: u32 = 360;
const FONT: &str = "sans-serif";
const LABEL_AREA: u32 = 56;

/// Queries by second of their planned arrival.
pub type BySecond = BTreeMap<u64, Totals>;

/// One scenario as measured.
pub struct ScenarioPlot<'a> {
    /// Title.
    pub title: &'a str,
    /// All rounds of each variant.
    pub variants: &'a [(Variant, BySecond)],
    /// When the fault happens.
    pub fault_at: Option<Duration>,
}

/// One line of a chart.
struct Line {
    label: String,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError = Box<dyn std::error::Error>;

/// Writes the plot to a file.
pub fn write(path: &Path, plot: &ScenarioPlot<'_>) -> Result<(), StepError> {
    draw(path, plot).map_err(|error| StepError::new("draw plot", path.display(), error))
}

fn draw(path: &Path, plot: &ScenarioPlot<'_>) -> Result<(), DrawError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(LATENCY_SHARE_OF_HEIGHT);
    draw_latency(&upper, plot)?;
    draw_coverage(&lower, plot)?;
    root.present()?;
    Ok(())
}

fn draw_latency(area: &Area<'_>, plot: &ScenarioPlot<'_>) -> Result<(), DrawError> {
    let mut lines = Vec::new();
    for (index, (variant, by_second)) in plot.variants.iter().enumerate() {
        for (quantile, label, color) in [
            (0.5, "p50", LIGHT_COLORS[index % LIGHT_COLORS.len()]),
            (0.99, "p99", DARK_COLORS[index % DARK_COLORS.len()]),
        ] {
            lines.push(Line {
                label: format!("{label} {}", variant.name()),
                color,
                points: points(by_second, |totals| {
                    totals.served_latency.quantile_millis(quantile)
                }),
            });
        }
    }
    let highest = highest_value(&lines);
    draw_chart(
        area,
        plot.title,
        "latency, ms",
        0.0..highest * 1.1,
        &lines,
        plot,
    )
}

fn draw_coverage(area: &Area<'_>, plot: &ScenarioPlot<'_>) -> Result<(), DrawError> {
    let mut lines = Vec::new();
    for (index, (variant, by_second)) in plot.variants.iter().enumerate() {
        lines.push(Line {
            label: format!("coverage {}", variant.name()),
            color: DARK_COLORS[index % DARK_COLORS.len()],
            points: points(by_second, |totals| 100.0 * totals.coverage()),
        });
    }
    let lowest = lines
        .iter()
        .flat_map(|line| line.points.iter().map(|(_, value)| *value))
        .fold(99.0, f64::min);
    draw_chart(area, "", "coverage, %", (lowest - 1.0)..100.5, &lines, plot)
}

const DARK_COLORS: [RGBColor; 2] = [RGBColor(0, 90, 160), RGBColor(190, 60, 20)];
const LIGHT_COLORS: [RGBColor; 2] = [RGBColor(120, 175, 220), RGBColor(240, 160, 120)];
const FAULT_COLOR: RGBColor = RGBColor(90, 90, 90);

fn points(by_second: &BySecond, value: impl Fn(&Totals) -> f64) -> Vec<(f64, f64)> {
    by_second
        .iter()
        .map(|(second, totals)| (*second as f64, value(totals)))
        .collect()
}

fn highest_value(lines: &[Line]) -> f64 {
    lines
        .iter()
        .flat_map(|line| line.points.iter().map(|(_, value)| *value))
        .fold(1.0, f64::max)
}

fn draw_chart(
    area: &Area<'_>,
    title: &str,
    value_label: &str,
    values: std::ops::Range<f64>,
    lines: &[Line],
    plot: &ScenarioPlot<'_>,
) -> Result<(), DrawError> {
    let last_second = lines
        .iter()
        .flat_map(|line| line.points.iter().map(|(second, _)| *second))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 18))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..last_second, values.clone())?;
    chart
        .configure_mesh()
        .x_desc("second of planned arrival")
        .y_desc(value_label)
        .light_line_style(WHITE)
        .draw()?;
    for line in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    if let Some(at) = plot.fault_at {
        let at = at.as_secs_f64();
        let mark = [(at, values.start), (at, values.end)];
        chart
            .draw_series([PathElement::new(mark, FAULT_COLOR)])?
            .label("fault")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], FAULT_COLOR));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(FAULT_COLOR)
        .draw()?;
    Ok(())
}
