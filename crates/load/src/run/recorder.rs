//! What callers and observers note during a run.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::history::{End, Record};

/// One arrival's course.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Place of its stream.
    pub stream: usize,
    /// When the caller was due.
    pub due_us: u64,
    /// First token or whole body.
    pub first_us: Option<u64>,
    /// End of the last call.
    pub end_us: u64,
    /// How the last call ended.
    pub end: End,
    /// Label of the last refusal, if it ended in one.
    pub reason: Option<String>,
    /// Calls made.
    pub calls: u32,
    /// Tokens received.
    pub tokens: u64,
    /// Version that answered.
    pub version: Option<String>,
}

/// A VM's price while it was listed.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Class of the VM.
    pub class: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is reclaimable.
    pub reclaimable: bool,
    /// Span listed, in seconds.
    pub seconds: f64,
}

/// Notes by all tasks of a run.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    recording: Mutex<Recording>,
}

/// All notes.
#[derive(Debug, Default)]
pub struct Recording {
    /// History in the order of noting.
    pub records: Vec<Record>,
    /// Arrivals that have ended.
    pub samples: Vec<Sample>,
    /// VMs seen, one a look.
    pub usage: Vec<Usage>,
    /// What events did.
    pub log: Vec<String>,
}

impl Recorder {
    /// No notes; time counts from now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            recording: Mutex::default(),
        }
    }

    /// Time since the start.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The instant of a time.
    pub fn instant(&self, us: u64) -> Instant {
        self.start + std::time::Duration::from_micros(us)
    }

    /// Adds a line to the history.
    pub fn add_record(&self, record: Record) {
        self.lock().records.push(record);
    }

    /// Adds an arrival that has ended.
    pub fn add_sample(&self, sample: Sample) {
        self.lock().samples.push(sample);
    }

    /// Adds a line about an event.
    pub fn log(&self, line: &str) {
        let now_ms = self.now_us() / 1_000;
        self.lock().log.push(format!("{now_ms} ms: {line}"));
    }

    /// All notes.
    pub fn lock(&self) -> MutexGuard<'_, Recording> {
        self.recording.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}
