//! Simulated engines.

use base::Millis;
use fake::engine::model::{Config, Engine, Output, Prompt, Sequence, prompt};
use fake::lagged::Lagged;
use indexmap::IndexSet;
use route::Prefix;

use super::node::Report;

/// Index of the prompt block whose hash identifies the shared prefix.
const PREFIX_BLOCK_INDEX: usize = 7;

/// Lifecycle phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts work.
    Live,
    /// Has received a reclaim notice and accepts no new work.
    Draining,
    /// Has been reclaimed.
    Reclaimed,
}

/// An engine and its reports.
#[derive(Debug)]
pub struct Replica {
    pub zone: String,
    pub phase: Phase,
    pub engine: Engine,
    pub reports: Lagged<Report>,
}

/// A prefix that an engine's cache stored or evicted.
#[derive(Clone, Copy, Debug)]
pub struct PrefixChange {
    pub replica: usize,
    pub prefix: Prefix,
    pub stored: bool,
}

/// All engines, with counts of the prompt tokens that they computed.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    report_lag: Millis,
    pub replicas: Vec<Replica>,
    /// Hashes of all prompt blocks submitted to any engine.
    known_blocks: IndexSet<u64>,
    /// Prefixes used by requests.
    requested_prefixes: IndexSet<u64>,
    /// Prompt tokens that had to be computed at least once.
    unique_tokens: u64,
}

impl Pool {
    pub fn new(config: Config, report_lag: Millis) -> Self {
        Self {
            config,
            report_lag,
            replicas: Vec::new(),
            known_blocks: IndexSet::new(),
            requested_prefixes: IndexSet::new(),
            unique_tokens: 0,
        }
    }

    /// Adds an idle engine and returns its index.
    pub fn add(&mut self, zone: &str) -> usize {
        self.replicas.push(Replica {
            zone: zone.to_owned(),
            phase: Phase::Live,
            engine: Engine::new(self.config.clone()),
            reports: Lagged::new(self.report_lag, Report::default()),
        });
        self.replicas.len() - 1
    }

    /// Returns the prefix that identifies a prompt in cache events, if the prompt is long enough.
    pub fn prefix(&mut self, prompt: &Prompt) -> Option<Prefix> {
        let hash = *prompt.blocks.get(PREFIX_BLOCK_INDEX)?;
        self.requested_prefixes.insert(hash);
        Some(Prefix(hash))
    }

    /// Submits a sequence to an engine.
    pub fn submit(&mut self, now_us: u64, replica: usize, sequence: Sequence) {
        if sequence.resume_from == 0 {
            self.count_unique_tokens(&sequence.prompt);
        }
        self.replicas[replica].engine.submit(now_us, sequence);
    }

    /// Completes the engine's iterations that are due.
    pub fn advance(&mut self, now_us: u64, replica: usize, outputs: &mut Vec<Output>) {
        self.replicas[replica].engine.advance(now_us, outputs);
    }

    /// Records the current load of each engine for delayed reports.
    pub fn record_reports(&mut self, now: Millis) {
        for replica in &mut self.replicas {
            let report = Report {
                running: replica.engine.running() as u32,
                queued: replica.engine.queued() as u32,
            };
            replica.reports.push(now, report);
        }
    }

    /// Returns the cache changes since the last call, limited to prefixes used by requests.
    pub fn take_changes(&mut self) -> Vec<PrefixChange> {
        let mut changes = Vec::new();
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            for change in replica.engine.take_changes() {
                let requested = |hash: &&u64| self.requested_prefixes.contains(*hash);
                let to_change = |stored| {
                    move |hash: &u64| PrefixChange {
                        replica: index,
                        prefix: Prefix(*hash),
                        stored,
                    }
                };
                changes.extend(change.stored.iter().filter(requested).map(to_change(true)));
                changes.extend(change.removed.iter().filter(requested).map(to_change(false)));
            }
        }
        changes
    }

    /// Prompt tokens computed by all engines.
    pub fn prefilled(&self) -> u64 {
        let counts = self.replicas.iter().map(|replica| replica.engine.counts());
        counts.map(|counts| counts.prefilled).sum()
    }

    /// Tokens computed again after some engine had already computed them.
    pub fn recomputed(&self) -> u64 {
        self.prefilled().saturating_sub(self.unique_tokens)
    }

    fn count_unique_tokens(&mut self, prompt: &Prompt) {
        let blocks = prompt.blocks.len() as u32 * prompt::BLOCK_TOKENS;
        self.unique_tokens += u64::from(prompt.tokens - blocks.min(prompt.tokens));
        for block in &prompt.blocks {
            if self.known_blocks.insert(*block) {
                self.unique_tokens += u64::from(prompt::BLOCK_TOKENS);
            }
        }
    }
}
