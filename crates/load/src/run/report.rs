//! Report of an experiment.

use catalogue::Catalogue;
use fake::engine::model;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::config::Experiment;
use super::recorder::{Recording, Sample, Usage};
use super::stats::{CostStats, Percentiles, Second, StreamStats};
use crate::history::{Finding, History, check};

/// Maximum latency that a histogram can record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Microseconds per second.
const US_PER_S: u64 = 1_000_000;

/// Statistics of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Seed of the experiment.
    pub seed: u64,
    /// Statistics of each stream.
    pub streams: Vec<StreamStats>,
    /// Token counters, summed over all engines.
    pub tokens: model::Counts,
    /// Cost by VM class, zone and reclaimability.
    pub costs: Vec<CostStats>,
    /// Statistics by second and endpoint.
    pub seconds: Vec<Second>,
    /// Log of scheduled events.
    pub log: Vec<String>,
    /// Findings of the history checker.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Computes the report from the recorded data.
    pub fn new(
        experiment: &Experiment,
        catalogue: &Catalogue,
        recording: &Recording,
        tokens: model::Counts,
    ) -> Self {
        let streams = 0..experiment.streams.len();
        let history = History::new(&recording.records);
        Self {
            name: experiment.name.clone(),
            seed: experiment.seed,
            streams: streams
                .map(|index| stream_stats(experiment, index, &recording.samples))
                .collect(),
            tokens,
            costs: cost_stats(catalogue, &recording.usage),
            seconds: second_stats(experiment, &recording.samples),
            log: recording.log.clone(),
            findings: check(&history),
        }
    }
}

fn stream_stats(experiment: &Experiment, index: usize, samples: &[Sample]) -> StreamStats {
    let settings = &experiment.streams[index];
    let samples = samples.iter().filter(|sample| sample.stream == index);
    let mut stats = StreamStats {
        endpoint: settings.endpoint.clone(),
        workspace: settings.workspace.clone(),
        ..StreamStats::default()
    };
    let [mut first_latency, mut total_latency] = [histogram(), histogram()];
    let mut calls = 0;
    for sample in samples {
        stats.arrived += 1;
        stats.tokens += sample.tokens;
        calls += u64::from(sample.calls);
        *stats.ends.entry(sample.end.as_str()).or_default() += 1;
        if let Some(reason) = &sample.reason {
            *stats.reasons.entry(reason.clone()).or_default() += 1;
        }
        if sample.end == crate::history::End::Answered {
            let first_us = sample.first_us.unwrap_or(sample.end_us);
            first_latency.saturating_record(first_us - sample.due_us);
            total_latency.saturating_record(sample.end_us - sample.due_us);
        }
    }
    stats.calls = calls as f64 / stats.arrived.max(1) as f64;
    stats.first = Percentiles::new(&first_latency);
    stats.whole = Percentiles::new(&total_latency);
    stats
}

fn second_stats(experiment: &Experiment, samples: &[Sample]) -> Vec<Second> {
    let mut groups = IndexMap::<(u64, &str), Vec<&Sample>>::new();
    for sample in samples {
        let endpoint = experiment.streams[sample.stream].endpoint.as_str();
        groups
            .entry((sample.due_us / US_PER_S, endpoint))
            .or_default()
            .push(sample);
    }
    groups.sort_keys();
    let rows = groups.into_iter().map(|((second, endpoint), samples)| {
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
        let mut answered_count = 0;
        for sample in answered {
            answered_count += 1;
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
            answered: answered_count,
            failed: samples.len() as u64 - answered_count,
            p95_ms: Percentiles::new(&latencies).p95,
            versions: versions.collect::<Vec<_>>().join(" "),
        }
    }
}

fn cost_stats(catalogue: &Catalogue, usage: &[Usage]) -> Vec<CostStats> {
    let mut hours_by_kind = IndexMap::<(&str, &str, bool), f64>::new();
    for entry in usage {
        *hours_by_kind
            .entry((&entry.class, &entry.zone, entry.reclaimable))
            .or_default() += entry.seconds / 3_600.0;
    }
    hours_by_kind.sort_keys();
    let rows = hours_by_kind
        .into_iter()
        .map(|((class, zone, reclaimable), hours)| CostStats {
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
    Histogram::new_with_max(MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("bounds are valid"))
}
