//! A model engine in virtual time: continuous batching, a prefix cache with LRU eviction, lagged reports.

use std::collections::VecDeque;

use indexmap::IndexSet;
use route::Prefix;

/// Requests in one batch at most.
pub const MAX_BATCH: usize = 16;
/// Prefixes that the cache holds.
pub const CACHE: usize = 24;
/// Time of one decoding step without requests, in milliseconds.
const STEP_BASE: f64 = 10.0;
/// Time that each request adds to a decoding step, in milliseconds.
const STEP_PER_REQUEST: f64 = 0.4;
/// Time to work out a shared prefix that is not cached, in milliseconds.
const PREFIX_COST: f64 = 200.0;
/// Time to work out the rest of a prompt, in milliseconds.
const PROMPT_COST: f64 = 20.0;
/// Part of each moment that goes to prompts while any waits.
const PROMPT_PART: f64 = 0.7;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its number in the run.
    pub id: u64,
    pub prefix: Prefix,
    /// Tokens still to be decoded.
    pub tokens: f64,
    prompt: f64,
    started: bool,
}

/// What became of a job in one moment.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    First(u64),
    Done(u64),
    /// The cache took the prefix in.
    Cached(Prefix),
    Evicted(Prefix),
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    pub live: bool,
    /// Factor on every cost; one for a sound machine.
    pub slowness: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    cache: IndexSet<Prefix>,
    /// Prefixes worked out, for the count of recomputed tokens.
    pub prefixes_computed: u64,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            live: true,
            slowness: 1.0,
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
            tokens,
            prompt: 0.0,
            started: false,
        });
    }

    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|job| job.id != id);
        self.queue.retain(|job| job.id != id);
    }

    /// The machine is reclaimed: all jobs are lost, and the cache with them.
    pub fn kill(&mut self) -> Vec<u64> {
        self.live = false;
        let running = std::mem::take(&mut self.running);
        let queue = std::mem::take(&mut self.queue);
        self.cache.clear();
        running.into_iter().chain(queue).map(|job| job.id).collect()
    }

    /// Works for `span` milliseconds.
    pub fn work(&mut self, span: f64, progress: &mut Vec<Progress>) {
        self.admit(progress);
        let span = span / self.slowness;
        let prompt_left = self.prompts(span * PROMPT_PART);
        let span = span * (1.0 - PROMPT_PART) + prompt_left;
        let decoding = self.running.iter().filter(|job| job.prompt <= 0.0).count();
        let tokens = span / (STEP_BASE + STEP_PER_REQUEST * decoding as f64);
        for job in self.running.iter_mut().filter(|job| job.prompt <= 0.0) {
            if !job.started {
                job.started = true;
                progress.push(Progress::First(job.id));
            }
            job.tokens -= tokens;
        }
        let done = self.running.iter().filter(|job| job.tokens <= 0.0);
        progress.extend(done.map(|job| Progress::Done(job.id)));
        self.running.retain(|job| job.tokens > 0.0);
    }

    fn admit(&mut self, progress: &mut Vec<Progress>) {
        while self.running.len() < MAX_BATCH {
            let Some(mut job) = self.queue.pop_front() else {
                return;
            };
            job.prompt = PROMPT_COST;
            if self.cache.shift_remove(&job.prefix) {
                self.cache.insert(job.prefix);
            } else {
                job.prompt += PREFIX_COST;
                self.prefixes_computed += 1;
                self.cache.insert(job.prefix);
                progress.push(Progress::Cached(job.prefix));
            }
            if self.cache.len() > CACHE
                && let Some(prefix) = self.cache.shift_remove_index(0)
            {
                progress.push(Progress::Evicted(prefix));
            }
            self.running.push(job);
        }
    }

    /// Works prompts out, first come first served; what is left of the time.
    fn prompts(&mut self, mut span: f64) -> f64 {
        for job in self.running.iter_mut().filter(|job| job.prompt > 0.0) {
            let used = span.min(job.prompt);
            job.prompt -= used;
            span -= used;
        }
        span
    }
}
