//! What an experiment comes to.

use std::fmt;

use catalogue::Catalogue;
use fake::engine::model;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::config::Experiment;
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

/// Figures of a stream; latencies in milliseconds from the due time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StreamFigures {
    /// Endpoint asked for.
    pub endpoint: String,
    /// Workspace of the callers.
    pub workspace: String,
    /// Arrivals that ended.
    pub arrived: u64,
    /// By end.
    pub ends: IndexMap<&'static str, u64>,
    /// Last refusals by reason.
    pub reasons: IndexMap<String, u64>,
    /// Calls for each arrival.
    pub calls: f64,
    /// Tokens received.
    pub tokens: u64,
    /// Latency of the first token or whole body of answered arrivals.
    pub first: Percentiles,
    /// Latency of the end of answered arrivals.
    pub whole: Percentiles,
}

/// Points of a histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

/// Cost of the VMs of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct CostFigures {
    /// Class.
    pub class: String,
    /// Availability zone.
    pub zone: String,
    /// Whether reclaimable.
    pub reclaimable: bool,
    /// Hours of all VMs of the kind.
    pub hours: f64,
    /// Price of these hours; none if the catalogue has no price.
    pub price: Option<f64>,
}

/// One second of arrivals of an endpoint, by due time.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// Second of the run.
    pub second: u64,
    /// Endpoint.
    pub endpoint: String,
    /// Arrivals due.
    pub arrived: u64,
    /// Answered.
    pub answered: u64,
    /// Ended as not run, unreached, unknown or lost.
    pub failed: u64,
    /// 95th percentile of the first token or whole body, in milliseconds.
    pub p95_ms: f64,
    /// Answers by version, as `version=count` separated by spaces.
    pub versions: String,
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

impl Percentiles {
    fn new(histogram: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1_000.0;
        Self {
            p50: ms(histogram.value_at_quantile(0.5)),
            p95: ms(histogram.value_at_quantile(0.95)),
            p99: ms(histogram.value_at_quantile(0.99)),
            max: ms(histogram.max()),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} seed {}", self.name, self.seed)?;
        for row in &self.streams {
            let ends = row.ends.iter().map(|(end, count)| format!("{end} {count}"));
            let reasons = row
                .reasons
                .iter()
                .map(|(reason, count)| format!("{reason} {count}"));
            let ends = ends.chain(reasons).collect::<Vec<_>>().join(", ");
            writeln!(
                f,
                "{} {}: arrived {} ({ends}); calls {:.3}; first p50 {:.1} p95 {:.1} p99 {:.1} ms; whole p95 {:.1} ms; \
                 tokens {}",
                row.endpoint,
                row.workspace,
                row.arrived,
                row.calls,
                row.first.p50,
                row.first.p95,
                row.first.p99,
                row.whole.p95,
                row.tokens
            )?;
        }
        let tokens = &self.tokens;
        writeln!(
            f,
            "tokens: prefilled {}, recomputed for resumes {}, cached {}, imported {}, decoded {}",
            tokens.prefilled, tokens.recomputed, tokens.cached, tokens.imported, tokens.decoded
        )?;
        let price = self.costs.iter().filter_map(|cost| cost.price).sum::<f64>();
        let hours = self.costs.iter().map(|cost| cost.hours).sum::<f64>();
        writeln!(f, "cost: {price:.4} for {hours:.4} VM hours")?;
        for line in &self.log {
            writeln!(f, "event at {line}")?;
        }
        for finding in self.findings.iter().take(20) {
            writeln!(f, "finding: {finding}")?;
        }
        write!(f, "findings: {}", self.findings.len())
    }
}
