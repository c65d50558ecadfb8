//! Max-min fair shares of workspaces.

use base::Millis;
use indexmap::IndexMap;

use crate::Rate;

/// Time over which the work of a workspace is averaged. A node sees only a small part of it.
const WINDOW_MS: f64 = 20_000.0;
/// Interval between calculations of the fair share.
const INTERVAL: Millis = Millis(250);
/// Maximum number of workspaces that are told apart. Workspaces without work are forgotten.
const MAX_WORKSPACES: usize = 1_024;
/// Rate below which a workspace is forgotten, in units of work per millisecond.
const MIN_RATE: f64 = 1e-6;
/// Multiple of the median below which no workspace is restricted. A node sees a few requests of each within the window, and
/// their sizes vary by a factor of ten.
const MEDIAN_FACTOR: f64 = 2.0;
/// Capacity that is given beyond what was admitted lately, since workspaces may use what others left.
const GROWTH: f64 = 1.1;

/// Work that workspaces offer to an endpoint, and the share of it that each may have.
///
/// Load pattern: one workspace sends many times its usual load. In the order of arrival it takes capacity from all others in
/// proportion to what it sends.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    offered: IndexMap<u64, Rate>,
    admitted: Option<Rate>,
    /// The most that one workspace may have, in units of work per millisecond, and when it was calculated.
    level: Option<(Millis, f64)>,
}

impl Fairness {
    /// Records work that a workspace offers.
    pub fn record_offered(&mut self, now: Millis, workspace: u64, work: f64) {
        if self.offered.len() >= MAX_WORKSPACES && !self.offered.contains_key(&workspace) {
            self.offered.retain(|_, rate| rate.get(now) > MIN_RATE);
        }
        if self.offered.len() >= MAX_WORKSPACES && !self.offered.contains_key(&workspace) {
            return;
        }
        let rate = self.offered.entry(workspace);
        rate.or_insert_with(|| Rate::new(now, WINDOW_MS)).add(now, work);
    }

    /// Records work that was admitted.
    pub fn record_admitted(&mut self, now: Millis, work: f64) {
        let rate = self.admitted.get_or_insert_with(|| Rate::new(now, WINDOW_MS));
        rate.add(now, work);
    }

    /// Part of a workspace's work that is within its fair share of what was admitted lately, between 0 and 1.
    pub fn share(&mut self, now: Millis, workspace: u64) -> f64 {
        let level = match self.level {
            Some((at, level)) if now.since(at) < INTERVAL => level,
            _ => self.update_level(now),
        };
        let offered = self.offered.get(&workspace).map_or(0.0, |rate| rate.get(now));
        if offered <= level { 1.0 } else { level / offered }
    }

    /// The level up to which the offered work of all workspaces together makes up the admitted work.
    fn update_level(&mut self, now: Millis) -> f64 {
        let mut rates: Vec<f64> = self.offered.values().map(|rate| rate.get(now)).collect();
        rates.sort_by(f64::total_cmp);
        let mut left = self.admitted.map_or(0.0, |rate| rate.get(now)) * GROWTH;
        let mut level = f64::INFINITY;
        for (index, rate) in rates.iter().enumerate() {
            let equal = left / (rates.len() - index) as f64;
            if *rate > equal {
                level = equal;
                break;
            }
            left -= rate;
        }
        let median = rates.get(rates.len() / 2).copied().unwrap_or(0.0);
        let level = level.max(median * MEDIAN_FACTOR);
        self.level = Some((now, level));
        level
    }
}
