//! Data recorded by callers and the observer during a run.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::history::{End, Record};

/// Result of one arrival.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of its stream.
    pub stream: usize,
    /// Due time of the arrival.
    pub due_us: u64,
    /// Time of the first token or whole body.
    pub first_us: Option<u64>,
    /// Time when the last call ended.
    pub end_us: u64,
    /// Result of the last call.
    pub end: End,
    /// Reason of the refusal, if the last call was refused.
    pub reason: Option<String>,
    /// Number of calls sent.
    pub calls: u32,
    /// Tokens received.
    pub tokens: u64,
    /// Version that served the last call.
    pub version: Option<String>,
}

/// Running time of a VM, for cost calculation.
#[derive(Clone, Debug)]
pub struct Usage {
    /// VM class.
    pub class: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the VM is reclaimable.
    pub reclaimable: bool,
    /// Time during which the VM was listed, in seconds.
    pub seconds: f64,
}

/// Collects the data of all tasks of a run.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    recording: Mutex<Recording>,
}

/// Recorded data of a run.
#[derive(Debug, Default)]
pub struct Recording {
    /// History in recording order.
    pub records: Vec<Record>,
    /// Finished arrivals.
    pub samples: Vec<Sample>,
    /// VM usage, one entry per VM and poll.
    pub usage: Vec<Usage>,
    /// Log of scheduled events.
    pub log: Vec<String>,
}

impl Recorder {
    /// Creates an empty recorder; times are relative to now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            recording: Mutex::default(),
        }
    }

    /// Returns the time since the start in microseconds.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Converts a time in microseconds since the start to an instant.
    pub fn instant(&self, us: u64) -> Instant {
        self.start + std::time::Duration::from_micros(us)
    }

    /// Adds a record to the history.
    pub fn add_record(&self, record: Record) {
        self.lock().records.push(record);
    }

    /// Adds a finished arrival.
    pub fn add_sample(&self, sample: Sample) {
        self.lock().samples.push(sample);
    }

    /// Adds a timestamped line to the event log.
    pub fn log(&self, line: &str) {
        let now_ms = self.now_us() / 1_000;
        self.lock().log.push(format!("{now_ms} ms: {line}"));
    }

    /// Locks and returns the recorded data.
    pub fn lock(&self) -> MutexGuard<'_, Recording> {
        self.recording.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}
