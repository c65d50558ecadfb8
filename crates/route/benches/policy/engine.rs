//! A simulated model engine in virtual time, with continuous batching and a prefix cache with LRU eviction.

use std::collections::VecDeque;

use indexmap::IndexSet;
use route::Prefix;

/// Maximum number of requests in a batch.
pub const MAX_BATCH: usize = 16;
/// Capacity of the prefix cache, in prefixes.
pub const CACHE_CAPACITY: usize = 24;
/// Fixed time of a decode step.
const DECODE_STEP_BASE_MS: f64 = 10.0;
/// Time that each request adds to a decode step.
const DECODE_STEP_PER_REQUEST_MS: f64 = 0.4;
/// Time to prefill a shared prefix that is not cached.
const PREFIX_PREFILL_MS: f64 = 200.0;
/// Time to prefill the rest of a prompt.
const PROMPT_PREFILL_MS: f64 = 20.0;
/// Fraction of the time spent on prefill while any prompt needs it.
const PREFILL_FRACTION: f64 = 0.7;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the attempt in the run.
    pub id: u64,
    pub prefix: Prefix,
    /// Tokens still to decode.
    pub remaining_tokens: f64,
    prefill_ms: f64,
    started: bool,
}

/// Progress of a job or change of the cache in one tick.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    FirstToken(u64),
    Done(u64),
    /// The prefix was added to the cache.
    Cached(Prefix),
    Evicted(Prefix),
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    pub live: bool,
    /// Factor on all processing times; one for a VM at normal speed.
    pub slowdown: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    cache: IndexSet<Prefix>,
    /// Number of computed prefixes, each of which is a cache miss.
    pub prefixes_computed: u64,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            live: true,
            slowdown: 1.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: IndexSet::new(),
            prefixes_computed: 0,
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub fn submit(&mut self, id: u64, prefix: Prefix, tokens: f64) {
        self.queue.push_back(Job {
            id,
            prefix,
            remaining_tokens: tokens,
            prefill_ms: 0.0,
            started: false,
        });
    }

    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|job| job.id != id);
        self.queue.retain(|job| job.id != id);
    }

    /// Simulates the reclaim of the VM, which loses the cache and all jobs; returns the jobs.
    pub fn kill(&mut self) -> Vec<u64> {
        self.live = false;
        let running = std::mem::take(&mut self.running);
        let queue = std::mem::take(&mut self.queue);
        self.cache.clear();
        running.into_iter().chain(queue).map(|job| job.id).collect()
    }

    /// Advances the engine by `time_ms` milliseconds.
    pub fn advance(&mut self, time_ms: f64, progress: &mut Vec<Progress>) {
        self.admit(progress);
        let time_ms = time_ms / self.slowdown;
        let unused = self.prefill(time_ms * PREFILL_FRACTION);
        let time_ms = time_ms * (1.0 - PREFILL_FRACTION) + unused;
        let decoding = self.running.iter().filter(|job| job.prefill_ms <= 0.0).count();
        let tokens = time_ms / (DECODE_STEP_BASE_MS + DECODE_STEP_PER_REQUEST_MS * decoding as f64);
        for job in self.running.iter_mut().filter(|job| job.prefill_ms <= 0.0) {
            if !job.started {
                job.started = true;
                progress.push(Progress::FirstToken(job.id));
            }
            job.remaining_tokens -= tokens;
        }
        let done = self.running.iter().filter(|job| job.remaining_tokens <= 0.0);
        progress.extend(done.map(|job| Progress::Done(job.id)));
        self.running.retain(|job| job.remaining_tokens > 0.0);
    }

    fn admit(&mut self, progress: &mut Vec<Progress>) {
        while self.running.len() < MAX_BATCH {
            let Some(mut job) = self.queue.pop_front() else {
                return;
            };
            job.prefill_ms = PROMPT_PREFILL_MS;
            if self.cache.shift_remove(&job.prefix) {
                self.cache.insert(job.prefix);
            } else {
                job.prefill_ms += PREFIX_PREFILL_MS;
                self.prefixes_computed += 1;
                self.cache.insert(job.prefix);
                progress.push(Progress::Cached(job.prefix));
            }
            if self.cache.len() > CACHE_CAPACITY
                && let Some(prefix) = self.cache.shift_remove_index(0)
            {
                progress.push(Progress::Evicted(prefix));
            }
            self.running.push(job);
        }
    }

    /// Prefills prompts in order of arrival; returns the unused time.
    fn prefill(&mut self, mut time_ms: f64) -> f64 {
        for job in self.running.iter_mut().filter(|job| job.prefill_ms > 0.0) {
            let used = time_ms.min(job.prefill_ms);
            job.prefill_ms -= used;
            time_ms -= used;
        }
        time_ms
    }
}
