//! Runs an experiment from start to report.

use std::io::IsTerminal;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use base::Seed;
use indicatif::ProgressBar;
use reqwest::Client;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use super::caller::Callers;
use super::config::Experiment;
use super::deployment::Deployment;
use super::observer::Observer;
use super::recorder::Recorder;
use super::report::Report;
use super::resolver::Resolver;
use super::scheduler::Scheduler;
use crate::history::Record;
use crate::workload::{self, Arrival};
use crate::{Error, file};

/// Maximum wait for outstanding requests after the last arrival.
const MAX_COMPLETION_WAIT: Duration = Duration::from_mins(2);

/// Result of an experiment.
#[derive(Debug)]
pub struct Outcome {
    /// Report of the experiment.
    pub report: Report,
    /// Recorded history.
    pub history: Vec<Record>,
}

/// Runs the experiment described by a file.
pub async fn run(path: &Path) -> Result<Outcome, Error> {
    let experiment = file::read_toml::<Experiment>(path)?;
    let client = Client::builder()
        .no_proxy()
        .build()
        .map_err(|cause| Error::Deployment(cause.to_string()))?;
    let deployment = Deployment::start(&experiment, path, client.clone()).await?;
    let recorder = Arc::new(Recorder::new());
    let observer = Arc::new(Observer::new(client.clone(), Arc::clone(&recorder), &deployment));
    let random = Seed(experiment.seed).derive(u64::MAX).generator();
    let callers = Arc::new(Callers {
        resolver: Resolver::new(client.clone(), deployment.nodes.clone(), random),
        experiment: experiment.clone(),
        client,
        recorder: Arc::clone(&recorder),
    });
    let catalogue = deployment.catalogue.clone();
    let scheduler = Scheduler {
        deployment: Arc::new(Mutex::new(deployment)),
        observer: Arc::clone(&observer),
        recorder: Arc::clone(&recorder),
    };
    let mut events = JoinSet::new();
    for event in experiment.events.clone() {
        events.spawn(scheduler.clone().run(event));
    }
    let observation = tokio::spawn(Arc::clone(&observer).run());
    let arrivals = workload::generate(
        &experiment.streams,
        experiment.span_s * 1_000_000,
        Seed(experiment.seed),
    );
    send_arrivals(callers, arrivals).await;
    events.abort_all();
    observation.abort();
    observer.poll().await;
    let counts = observer.counts().await;
    scheduler.log_rollout_status(&experiment.events).await;
    drop((scheduler, events));
    let recording = std::mem::take(&mut *recorder.lock());
    let report = Report::new(&experiment, &catalogue, &recording, counts);
    Ok(Outcome {
        report,
        history: recording.records,
    })
}

/// Starts each arrival at its due time, independent of the progress of earlier arrivals.
async fn send_arrivals(callers: Arc<Callers>, arrivals: Vec<Arrival>) {
    let progress_bar = progress_bar(arrivals.len() as u64);
    let mut calls = JoinSet::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(callers.recorder.instant(arrival.due_us)).await;
        calls.spawn(Arc::clone(&callers).handle(number, arrival));
        while calls.try_join_next().is_some() {
            progress_bar.inc(1);
        }
    }
    let remaining = async {
        while calls.join_next().await.is_some() {
            progress_bar.inc(1);
        }
    };
    if tokio::time::timeout(MAX_COMPLETION_WAIT, remaining)
        .await
        .is_err()
    {
        callers
            .recorder
            .log(&format!("{} requests did not finish", calls.len()));
    }
    progress_bar.finish_and_clear();
}

fn progress_bar(count: u64) -> ProgressBar {
    if std::io::stderr().is_terminal() {
        ProgressBar::new(count)
    } else {
        ProgressBar::hidden()
    }
}
