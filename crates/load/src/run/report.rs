//! What an experiment comes to.

use catalogue::Catalogue;
use fake::engine::model;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::config::Experiment;
use super::figures::{CostFigures, Percentiles, Second, StreamFigures};
use super::recorder::{Cost, Notes, Sample};
use crate::history::{Finding, History, check};

/// Longest latency that a histogram holds, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Microseconds of a second.
const SECOND_US: u64 = 1_000_000;

/// Figures of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Figures of each stream.
    pub streams: Vec<StreamFigures>,
    /// Tokens by kind, of all engines.
    pub tokens: model::Counts,
    /// Cost by class, zone and kind.
    pub costs: Vec<CostFigures>,
    /// Each second of the run.
    pub seconds: Vec<Second>,
    /// What events did.
    pub log: Vec<String>,
    /// What the history breaks.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Works the notes out.
    pub fn new(experiment: &Experiment, catalogue: &Catalogue, notes: &Notes, tokens: model::Counts) -> Self {
        let streams = 0..experiment.streams.len();
        let history = History::new(&notes.records);
        Self {
            name: experiment.name.clone(),
            seed: experiment.seed,
            streams: streams
                .map(|index| stream(experiment, index, &notes.samples))
                .collect(),
            tokens,
            costs: costs(catalogue, &notes.costs),
            seconds: seconds(experiment, &notes.samples),
            log: notes.log.clone(),
            findings: check(&history),
        }
    }
}

fn stream(experiment: &Experiment, index: usize, samples: &[Sample]) -> StreamFigures {
    let settings = &experiment.streams[index];
    let samples = samples.iter().filter(|sample| sample.stream == index);
    let mut figures = StreamFigures {
        endpoint: settings.endpoint.clone(),
        workspace: settings.workspace.clone(),
        ..StreamFigures::default()
    };
    let [mut first, mut whole] = [histogram(), histogram()];
    let mut calls = 0;
    for sample in samples {
        figures.arrived += 1;
        figures.tokens += sample.tokens;
        calls += u64::from(sample.calls);
        *figures.ends.entry(sample.end.as_str()).or_default() += 1;
        if let Some(reason) = &sample.reason {
            *figures.reasons.entry(reason.clone()).or_default() += 1;
        }
        if sample.end == crate::history::End::Answered {
            let begun = sample.first_us.unwrap_or(sample.end_us);
            first.saturating_record(begun - sample.due_us);
            whole.saturating_record(sample.end_us - sample.due_us);
        }
    }
    figures.calls = calls as f64 / figures.arrived.max(1) as f64;
    figures.first = Percentiles::new(&first);
    figures.whole = Percentiles::new(&whole);
    figures
}

fn seconds(experiment: &Experiment, samples: &[Sample]) -> Vec<Second> {
    let mut cells = IndexMap::<(u64, &str), Vec<&Sample>>::new();
    for sample in samples {
        let endpoint = experiment.streams[sample.stream].endpoint.as_str();
        cells
            .entry((sample.due_us / SECOND_US, endpoint))
            .or_default()
            .push(sample);
    }
    cells.sort_keys();
    let rows = cells.into_iter().map(|((second, endpoint), samples)| {
        let mut row = Second::new(&samples);
        row.second = second;
        endpoint.clone_into(&mut row.endpoint);
        row
    });
    rows.collect()
}

impl Second {
    fn new(samples: &[&Sample]) -> Self {
        let mut latencies = histogram();
        let mut versions = IndexMap::<&str, u64>::new();
        let answered = samples
            .iter()
            .filter(|sample| sample.end == crate::history::End::Answered);
        let mut count = 0;
        for sample in answered {
            count += 1;
            latencies.saturating_record(sample.first_us.unwrap_or(sample.end_us) - sample.due_us);
            *versions
                .entry(sample.version.as_deref().unwrap_or("none"))
                .or_default() += 1;
        }
        versions.sort_keys();
        let versions = versions
            .iter()
            .map(|(version, count)| format!("{version}={count}"));
        Self {
            second: 0,
            endpoint: String::new(),
            arrived: samples.len() as u64,
            answered: count,
            failed: samples.len() as u64 - count,
            p95_ms: Percentiles::new(&latencies).p95,
            versions: versions.collect::<Vec<_>>().join(" "),
        }
    }
}

fn costs(catalogue: &Catalogue, costs: &[Cost]) -> Vec<CostFigures> {
    let mut kinds = IndexMap::<(&str, &str, bool), f64>::new();
    for cost in costs {
        *kinds
            .entry((&cost.class, &cost.zone, cost.reclaimable))
            .or_default() += cost.seconds / 3_600.0;
    }
    kinds.sort_keys();
    let rows = kinds
        .into_iter()
        .map(|((class, zone, reclaimable), hours)| CostFigures {
            class: class.to_owned(),
            zone: zone.to_owned(),
            reclaimable,
            hours,
            price: price(catalogue, class, zone, reclaimable).map(|price| price * hours),
        });
    rows.collect()
}

fn price(catalogue: &Catalogue, class: &str, zone: &str, reclaimable: bool) -> Option<f64> {
    let class = catalogue
        .classes
        .iter()
        .find(|entry| entry.name.as_str() == class)?;
    let price = class.prices.iter().find(|price| price.zone.as_str() == zone)?;
    if reclaimable {
        price.reclaimable
    } else {
        price.on_demand
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are fixed and valid.
    Histogram::new_with_max(LONGEST_US, 3).unwrap_or_else(|_| unreachable!("bounds are valid"))
}
