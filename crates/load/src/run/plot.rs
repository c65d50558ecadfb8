//! Plots of an experiment over time.

use std::path::Path;

use plotters::prelude::*;

use super::report::Report;
use super::stats::Second;
use crate::Error;

/// Image size in pixels.
const SIZE: Size = Size {
    width: 960,
    height: 640,
};

#[derive(Clone, Copy, Debug)]
struct Size {
    width: u32,
    height: u32,
}

/// Writes an SVG with arrivals, answers and failures per second in the upper chart and the 95th percentile of latency
/// in the lower chart.
pub fn draw(path: &Path, report: &Report) -> Result<(), Error> {
    draw_chart(path, report).map_err(|message| Error::Plot {
        path: path.display().to_string(),
        message,
    })
}

fn draw_chart(path: &Path, report: &Report) -> Result<(), String> {
    let root = SVGBackend::new(path, (SIZE.width, SIZE.height)).into_drawing_area();
    root.fill(&WHITE).map_err(to_string)?;
    let (upper, lower) = root.split_vertically(SIZE.height / 2);
    let all_series = [
        Series::new("arrived", BLUE, |second| second.arrived as f64),
        Series::new("answered", GREEN, |second| second.answered as f64),
        Series::new("failed", RED, |second| second.failed as f64),
    ];
    chart(&upper, "requests per second", &report.seconds, &all_series)?;
    let all_series = [Series::new("p95 ms", MAGENTA, |second| second.p95_ms)];
    chart(
        &lower,
        "95th percentile of time to first token, ms",
        &report.seconds,
        &all_series,
    )?;
    root.present().map_err(to_string)
}

struct Series {
    label: &'static str,
    color: RGBColor,
    value: fn(&Second) -> f64,
}

impl Series {
    const fn new(label: &'static str, color: RGBColor, value: fn(&Second) -> f64) -> Self {
        Self { label, color, value }
    }
}

/// Combines the values of all endpoints into one point per second: the sum or, for percentiles, the maximum.
fn points(seconds: &[Second], series: &Series) -> Vec<(f64, f64)> {
    let mut points = Vec::<(f64, f64)>::new();
    for second in seconds {
        let [at, value] = [second.second as f64, (series.value)(second)];
        match points.last_mut() {
            Some(last) if last.0 >= at => {
                last.1 = if series.label == "p95 ms" {
                    last.1.max(value)
                } else {
                    last.1 + value
                }
            }
            _ => points.push((at, value)),
        }
    }
    points
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    seconds: &[Second],
    all_series: &[Series],
) -> Result<(), String> {
    let series_points = all_series
        .iter()
        .map(|series| points(seconds, series))
        .collect::<Vec<_>>();
    let values = series_points.iter().flatten();
    let max_value = values.map(|point| point.1).fold(1.0, f64::max);
    let end = seconds.last().map_or(1.0, |second| second.second as f64).max(1.0);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(title, ("sans-serif", 16))
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..max_value)
        .map_err(to_string)?;
    chart.configure_mesh().draw().map_err(to_string)?;
    for (spec, points) in all_series.iter().zip(series_points) {
        let color = spec.color;
        let series = LineSeries::new(points, &color);
        let annotation = chart.draw_series(series).map_err(to_string)?;
        annotation
            .label(spec.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    labels
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(to_string)
}

fn to_string<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}
