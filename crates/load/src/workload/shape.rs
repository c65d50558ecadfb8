//! Rate profiles over the duration of a run.

use serde::{Deserialize, Serialize};

/// Profile of the arrival rate, relative to the stream's peak rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Constant rate.
    #[default]
    Steady,
    /// A school day scaled to the run: peaks before breakfast (07:30) and at lunchtime (12:15).
    SchoolDay,
    /// An office day scaled to the run: traffic from morning to evening.
    OfficeDay,
    /// Batch work in the evening and at night; no traffic from 06:00 to 20:00.
    Overnight,
}

/// A point of a profile. The factor is interpolated linearly between points.
#[derive(Clone, Copy, Debug)]
struct Point {
    /// Hour of the day.
    hour: f64,
    /// Fraction of the stream's peak rate.
    factor: f64,
}

const fn point(hour: f64, factor: f64) -> Point {
    Point { hour, factor }
}

const SCHOOL_DAY: [Point; 11] = [
    point(0.0, 0.02),
    point(6.0, 0.1),
    point(7.5, 1.0),
    point(8.5, 0.5),
    point(9.5, 0.1),
    point(11.5, 0.2),
    point(12.25, 1.0),
    point(13.0, 0.6),
    point(14.0, 0.15),
    point(18.0, 0.1),
    point(24.0, 0.02),
];

const OFFICE_DAY: [Point; 7] = [
    point(0.0, 0.02),
    point(7.0, 0.1),
    point(9.0, 1.0),
    point(11.5, 0.7),
    point(15.0, 0.9),
    point(17.5, 0.2),
    point(24.0, 0.02),
];

const OVERNIGHT: [Point; 6] = [
    point(0.0, 1.0),
    point(5.0, 0.6),
    point(6.0, 0.0),
    point(20.0, 0.0),
    point(22.0, 1.0),
    point(24.0, 1.0),
];

impl Shape {
    /// Returns the rate factor, between 0 and 1, at a fraction of the run from 0 to 1.
    pub fn factor(self, fraction: f64) -> f64 {
        const HOURS: f64 = 24.0;
        match self {
            Self::Steady => 1.0,
            Self::SchoolDay => interpolate(&SCHOOL_DAY, fraction * HOURS),
            Self::OfficeDay => interpolate(&OFFICE_DAY, fraction * HOURS),
            Self::Overnight => interpolate(&OVERNIGHT, fraction * HOURS),
        }
    }
}

fn interpolate(points: &[Point], hour: f64) -> f64 {
    let next = points.partition_point(|point| point.hour <= hour);
    let (Some(before), Some(after)) = (points.get(next.wrapping_sub(1)), points.get(next)) else {
        return points.last().map_or(0.0, |point| point.factor);
    };
    let fraction = (hour - before.hour) / (after.hour - before.hour);
    before.factor + (after.factor - before.factor) * fraction
}
