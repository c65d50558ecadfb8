//! What a node tells the others of crashes.

use base::Millis;
use indexmap::IndexMap;

use super::{Detector, MEMORY};
use crate::crash::Event;
use crate::{Block, Crash, Digest, Survival};

/// Maximum numbers of entries in a digest.
const MAX_REPORTED_CRASHES: usize = 6;
const MAX_REPORTED_SURVIVALS: usize = 8;
const MAX_REPORTED_BLOCKS: usize = 8;
/// Maximum number of reported crashes that blame ids of other crashes, so that others find room.
const MAX_REPORTED_SUSPICIONS: usize = 4;
/// Time for which crashes are fresh. If there are many of these, digests name them by turns.
const FRESH_TIME: Millis = Millis(1_500);
/// Time for which an exoneration is reported, so that all nodes hear of it.
const EXONERATION_TTL: Millis = Millis(1_500);
/// Time for which a lifted block is reported, so that all nodes hear of it.
const LIFTED_TTL: Millis = Millis(60_000);

impl Detector {
    /// What the other nodes should know.
    pub fn digest(&self, now: Millis) -> Digest {
        let crashes: Vec<Crash> = self
            .reported_events(now)
            .into_iter()
            .map(|event| Crash {
                replica: event.replica,
                age: now.since(event.at),
                parts: event.parts.clone(),
            })
            .collect();
        Digest {
            survivals: self.reported_survivals(now, &crashes),
            crashes,
            blocks: self.reported_blocks(now),
        }
    }

    /// The crashes that no block explains: first those that blame what other crashes blame as well, then fresh ones, then the
    /// latest.
    ///
    /// Load pattern: a replica crashes with many requests, one of which caused it and the others are unique. Only if all nodes
    /// hear of that one do they count it together.
    fn reported_events(&self, now: Millis) -> Vec<&Event> {
        let is_reported = |event: &&Event| self.is_open(event) && now.since(event.at) < MEMORY;
        let open: Vec<&Event> = self.events.iter().rev().filter(is_reported).collect();
        if open.len() <= MAX_REPORTED_CRASHES {
            return open;
        }
        let crashes = count_crashes(&open);
        let suspicion = |event: &Event| {
            let counts = event.parts.iter().filter_map(|id| crashes.get(id));
            counts.map(|(_, count)| *count).max().unwrap_or(0)
        };
        let (mut suspicious, others): (Vec<&Event>, Vec<&Event>) =
            open.into_iter().partition(|event| suspicion(event) > 1);
        suspicious.sort_by_key(|event| std::cmp::Reverse(suspicion(event)));
        suspicious.truncate(MAX_REPORTED_SUSPICIONS);
        let (mut fresh, old): (Vec<&Event>, Vec<&Event>) = others
            .into_iter()
            .partition(|event| now.since(event.at) < FRESH_TIME);
        if !fresh.is_empty() {
            let turn = scramble(now) % fresh.len() as u64;
            fresh.rotate_left(turn as usize);
        }
        suspicious.extend(fresh.into_iter().chain(old));
        suspicious.truncate(MAX_REPORTED_CRASHES);
        suspicious
    }

    /// When the parts of these crashes were last processed, and what was exonerated lately.
    fn reported_survivals(&self, now: Millis, crashes: &[Crash]) -> Vec<Survival> {
        let exonerated = self.exonerated.iter().rev();
        let lately = exonerated.filter(|(_, at)| now.since(**at) < EXONERATION_TTL);
        let mut ids: Vec<u64> = crashes.iter().flat_map(|crash| crash.parts.clone()).collect();
        ids.sort_unstable();
        let mut survivals: IndexMap<u64, Survival> = IndexMap::new();
        for part in lately.map(|(id, _)| *id).chain(ids) {
            if let Some(last) = self.last_survival(part) {
                let age = now.since(last);
                survivals.entry(part).or_insert(Survival { part, age });
            }
        }
        survivals.into_values().take(MAX_REPORTED_SURVIVALS).collect()
    }

    fn reported_blocks(&self, now: Millis) -> Vec<Block> {
        let mut blocks: Vec<Block> = self
            .blocks
            .iter()
            .map(|(parts, state)| Block {
                parts: parts.clone(),
                age: now.since(state.at),
                is_lifted: state.is_lifted,
            })
            .filter(|block| block.age < if block.is_lifted { LIFTED_TTL } else { MEMORY })
            .collect();
        blocks.sort_by_key(|block| block.age);
        blocks.truncate(MAX_REPORTED_BLOCKS);
        blocks
    }

    /// Whether a crash can still blame a part.
    fn is_open(&self, event: &Event) -> bool {
        let is_blamed = |part: &u64| {
            let survived = self.last_survival(*part);
            survived.is_none_or(|last| last < event.at)
        };
        let mut blocks = self.blocks.iter().filter(|(_, state)| !state.is_lifted);
        event.parts.iter().any(is_blamed) && !blocks.any(|(blocked, _)| event.has_all(blocked))
    }
}

/// The last crash that blames each id, and how many do; one that other crashes were noticed within may count twice.
fn count_crashes(events: &[&Event]) -> IndexMap<u64, (u64, usize)> {
    let mut counts: IndexMap<u64, (u64, usize)> = IndexMap::new();
    for event in events {
        for id in &event.parts {
            let (last, count) = counts.entry(*id).or_insert((event.crash, 1));
            if *last != event.crash {
                *last = event.crash;
                *count += 1;
            }
        }
    }
    counts
}

/// A number that differs widely between times that are near each other.
const fn scramble(now: Millis) -> u64 {
    now.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}
