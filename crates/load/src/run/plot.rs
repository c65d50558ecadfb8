//! The course of an experiment as a picture.

use std::path::Path;

use plotters::prelude::*;

use super::figures::Second;
use super::report::Report;
use crate::Error;

/// Size of the picture in pixels.
const SIZE: Size = Size {
    width: 960,
    height: 640,
};

#[derive(Clone, Copy, Debug)]
struct Size {
    width: u32,
    height: u32,
}

/// Draws arrivals, answers and failures a second above, and the 95th percentile of latency below.
pub fn draw(path: &Path, report: &Report) -> Result<(), Error> {
    draw_all(path, report).map_err(|message| Error::Plot {
        path: path.display().to_string(),
        message,
    })
}

fn draw_all(path: &Path, report: &Report) -> Result<(), String> {
    let root = SVGBackend::new(path, (SIZE.width, SIZE.height)).into_drawing_area();
    root.fill(&WHITE).map_err(text)?;
    let (above, below) = root.split_vertically(SIZE.height / 2);
    let lines = [
        Line::new("arrived", BLUE, |second| second.arrived as f64),
        Line::new("answered", GREEN, |second| second.answered as f64),
        Line::new("failed", RED, |second| second.failed as f64),
    ];
    chart(&above, "requests a second", &report.seconds, &lines)?;
    let lines = [Line::new("p95 ms", MAGENTA, |second| second.p95_ms)];
    chart(
        &below,
        "95th percentile to the first token, ms",
        &report.seconds,
        &lines,
    )?;
    root.present().map_err(text)
}

struct Line {
    label: &'static str,
    color: RGBColor,
    value: fn(&Second) -> f64,
}

impl Line {
    const fn new(label: &'static str, color: RGBColor, value: fn(&Second) -> f64) -> Self {
        Self { label, color, value }
    }
}

/// All endpoints' values of a line, added or, for percentiles, the worst, by second.
fn points(seconds: &[Second], line: &Line) -> Vec<(f64, f64)> {
    let mut points = Vec::<(f64, f64)>::new();
    for second in seconds {
        let [at, value] = [second.second as f64, (line.value)(second)];
        match points.last_mut() {
            Some(last) if last.0 >= at => {
                last.1 = if line.label == "p95 ms" {
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
    lines: &[Line],
) -> Result<(), String> {
    let all = lines.iter().map(|line| points(seconds, line)).collect::<Vec<_>>();
    let values = all.iter().flatten();
    let top = values.map(|point| point.1).fold(1.0, f64::max);
    let end = seconds.last().map_or(1.0, |second| second.second as f64).max(1.0);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(title, ("sans-serif", 16))
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .map_err(text)?;
    chart.configure_mesh().draw().map_err(text)?;
    for (line, points) in lines.iter().zip(all) {
        let color = line.color;
        let series = LineSeries::new(points, &color);
        let drawn = chart.draw_series(series).map_err(text)?;
        drawn
            .label(line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    labels
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(text)
}

fn text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}
