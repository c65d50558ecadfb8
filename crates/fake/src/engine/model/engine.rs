//! State machine of the engine model.

use super::cache::Change;
use super::prompt::BLOCK_TOKENS;
use super::{Cache, Config, Counts, Output, Sequence};

/// Engine in virtual time.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Config,
    cache: Cache,
    counts: Counts,
    queue: Vec<Sequence>,
    running: Vec<Running>,
    /// End of the current iteration.
    iteration_end: Option<u64>,
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Running {
    sequence: Sequence,
    /// Tokens that remain to be computed before the first output.
    prefill: u32,
    /// Tokens of `prefill` computed by the current iteration.
    chunk: u32,
    /// Whether the current iteration generates a token for the sequence.
    decoding: bool,
    next_index: u32,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(config: Config) -> Self {
        Self {
            cache: Cache::new(config.cache_blocks),
            config,
            counts: Counts::default(),
            queue: Vec::new(),
            running: Vec::new(),
            iteration_end: None,
            changes: Vec::new(),
        }
    }

    /// Returns the timing and capacity.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued sequences.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of cached blocks.
    pub fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Returns the end of the current iteration in microseconds, or `None` if the engine is idle.
    pub fn next_due(&self) -> Option<u64> {
        self.iteration_end
    }

    /// Takes the cache changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Queues a sequence, which starts with one of the next iterations.
    pub fn submit(&mut self, now: u64, sequence: Sequence) {
        let goes_before = |other: &Sequence| other.priority >= sequence.priority;
        let index = self.queue.partition_point(goes_before);
        self.queue.insert(index, sequence);
        if self.iteration_end.is_none() {
            self.begin_iteration(now);
        }
    }

    /// Cancels a sequence. Returns false if it is neither queued nor running.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|sequence| sequence.id != id);
        self.running.retain(|running| running.sequence.id != id);
        let removed = self.queue.len() + self.running.len() < before;
        self.counts.cancelled += u64::from(removed);
        removed
    }

    /// Returns the number of prompt and response tokens computed for a running sequence,
    /// or `None` before its prefill is complete and after its end.
    pub fn computed(&self, id: u64) -> Option<u32> {
        let running = self.running.iter().find(|running| running.sequence.id == id)?;
        (running.prefill == 0).then_some(running.sequence.prompt.tokens + running.next_index)
    }

    /// Finishes every iteration that is due at `now`.
    pub fn advance(&mut self, now: u64, outputs: &mut Vec<Output>) {
        while let Some(end) = self.iteration_end.filter(|end| *end <= now) {
            self.finish_iteration(outputs);
            self.begin_iteration(end);
        }
    }

    fn begin_iteration(&mut self, now: u64) {
        self.admit();
        if self.running.is_empty() {
            self.iteration_end = None;
            return;
        }
        let mut budget = self.config.prefill_chunk.max(1);
        let mut duration = self.config.iteration_us;
        for running in &mut self.running {
            running.decoding = running.prefill == 0;
            running.chunk = running.prefill.min(budget);
            budget -= running.chunk;
            duration += u64::from(running.chunk) * self.config.prefill_us;
            duration += u64::from(running.decoding) * self.config.sequence_us;
        }
        self.iteration_end = Some(now + duration);
    }

    fn admit(&mut self) {
        let free_slots = self.config.max_running.saturating_sub(self.running.len());
        let count = free_slots.min(self.queue.len());
        let admitted = self.queue.drain(..count).collect::<Vec<_>>();
        for sequence in admitted {
            let running = self.start(sequence);
            self.running.push(running);
        }
    }

    fn start(&mut self, sequence: Sequence) -> Running {
        let total = sequence.prompt.tokens + sequence.resume_from;
        let cached = self.cache.match_prefix(&sequence.prompt.blocks) as u32 * BLOCK_TOKENS;
        let imported = sequence.imported.min(total).saturating_sub(cached);
        let prefill = total - cached.min(total) - imported;
        let counts = &mut self.counts;
        counts.started += 1;
        counts.cached += u64::from(cached);
        counts.imported += u64::from(imported);
        counts.prefilled += u64::from(prefill);
        if sequence.resume_from > 0 {
            counts.recomputed += u64::from(prefill);
        }
        Running {
            prefill,
            chunk: 0,
            decoding: false,
            next_index: sequence.resume_from,
            sequence,
        }
    }

    fn finish_iteration(&mut self, outputs: &mut Vec<Output>) {
        for running in &mut self.running {
            let id = running.sequence.id;
            if running.chunk > 0 {
                running.prefill -= running.chunk;
                running.chunk = 0;
                if running.prefill == 0 {
                    let change = self.cache.store(&running.sequence.prompt.blocks);
                    self.changes.push(change);
                }
            }
            if running.decoding && running.next_index < running.sequence.max_tokens {
                outputs.push(Output::Token {
                    id,
                    index: running.next_index,
                });
                running.next_index += 1;
                self.counts.decoded += 1;
            }
        }
        self.remove_finished(outputs);
    }

    fn remove_finished(&mut self, outputs: &mut Vec<Output>) {
        let is_finished =
            |running: &Running| running.prefill == 0 && running.next_index >= running.sequence.max_tokens;
        for running in self.running.iter().filter(|running| is_finished(running)) {
            outputs.push(Output::Done {
                id: running.sequence.id,
            });
            self.counts.finished += 1;
        }
        self.running.retain(|running| !is_finished(running));
    }
}
