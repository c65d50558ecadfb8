//! The state machine.

use super::cache::Change;
use super::prompt::BLOCK_TOKENS;
use super::{Cache, Config, Counts, Output, Sequence};

/// An engine in virtual time.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Config,
    cache: Cache,
    counts: Counts,
    queue: Vec<Sequence>,
    running: Vec<Running>,
    /// End of the iteration under way.
    end: Option<u64>,
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Running {
    sequence: Sequence,
    /// Tokens still to be computed before the first output.
    prefill: u32,
    /// Tokens of `prefill` computed by the iteration under way.
    chunk: u32,
    /// Whether the iteration under way gives it a token.
    decoding: bool,
    next: u32,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(config: Config) -> Self {
        Self {
            cache: Cache::new(config.cache_blocks),
            config,
            counts: Counts::default(),
            queue: Vec::new(),
            running: Vec::new(),
            end: None,
            changes: Vec::new(),
        }
    }

    /// Its speeds and sizes.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Tokens since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sequences that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Blocks in the cache.
    pub fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// When the iteration under way ends, in microseconds; `None` if idle.
    pub fn next(&self) -> Option<u64> {
        self.end
    }

    /// Changes of the cache since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Queues a sequence; it starts with an iteration.
    pub fn submit(&mut self, now: u64, sequence: Sequence) {
        let after = |other: &Sequence| other.priority >= sequence.priority;
        let place = self.queue.partition_point(after);
        self.queue.insert(place, sequence);
        if self.end.is_none() {
            self.begin(now);
        }
    }

    /// Drops a sequence; false if it isn't there.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|sequence| sequence.id != id);
        self.running.retain(|running| running.sequence.id != id);
        let there = self.queue.len() + self.running.len() < before;
        self.counts.cancelled += u64::from(there);
        there
    }

    /// Tokens of prompt and answer computed for a running sequence; `None` before its first output or after its end.
    pub fn computed(&self, id: u64) -> Option<u32> {
        let running = self.running.iter().find(|running| running.sequence.id == id)?;
        (running.prefill == 0).then_some(running.sequence.prompt.tokens + running.next)
    }

    /// Ends every iteration that is due at `now`.
    pub fn advance(&mut self, now: u64, outputs: &mut Vec<Output>) {
        while let Some(end) = self.end.filter(|end| *end <= now) {
            self.finish(outputs);
            self.begin(end);
        }
    }

    fn begin(&mut self, now: u64) {
        self.admit();
        if self.running.is_empty() {
            self.end = None;
            return;
        }
        let mut budget = self.config.prefill_chunk.max(1);
        let mut span = self.config.iteration_us;
        for running in &mut self.running {
            running.decoding = running.prefill == 0;
            running.chunk = running.prefill.min(budget);
            budget -= running.chunk;
            span += u64::from(running.chunk) * self.config.prefill_us;
            span += u64::from(running.decoding) * self.config.sequence_us;
        }
        self.end = Some(now + span);
    }

    fn admit(&mut self) {
        let room = self.config.max_running.saturating_sub(self.running.len());
        let count = room.min(self.queue.len());
        let admitted = self.queue.drain(..count).collect::<Vec<_>>();
        for sequence in admitted {
            let running = self.start(sequence);
            self.running.push(running);
        }
    }

    fn start(&mut self, sequence: Sequence) -> Running {
        let total = sequence.prompt.tokens + sequence.resume_from;
        let found = self.cache.find(&sequence.prompt.blocks) as u32 * BLOCK_TOKENS;
        let imported = sequence.imported.min(total).saturating_sub(found);
        let prefill = total - found.min(total) - imported;
        let counts = &mut self.counts;
        counts.started += 1;
        counts.cached += u64::from(found);
        counts.imported += u64::from(imported);
        counts.prefilled += u64::from(prefill);
        if sequence.resume_from > 0 {
            counts.recomputed += u64::from(prefill);
        }
        Running {
            prefill,
            chunk: 0,
            decoding: false,
            next: sequence.resume_from,
            sequence,
        }
    }

    fn finish(&mut self, outputs: &mut Vec<Output>) {
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
            if running.decoding && running.next < running.sequence.max_tokens {
                outputs.push(Output::Token {
                    id,
                    index: running.next,
                });
                running.next += 1;
                self.counts.decoded += 1;
            }
        }
        self.retire(outputs);
    }

    fn retire(&mut self, outputs: &mut Vec<Output>) {
        let ended = |running: &Running| running.prefill == 0 && running.next >= running.sequence.max_tokens;
        for running in self.running.iter().filter(|running| ended(running)) {
            outputs.push(Output::Done {
                id: running.sequence.id,
            });
            self.counts.finished += 1;
        }
        self.running.retain(|running| !ended(running));
    }
}
