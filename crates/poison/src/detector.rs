//! Decides which requests and parts are blocked.

mod report;

use std::collections::VecDeque;

use base::Millis;
use indexmap::IndexMap;

use crate::blame::{Blame, SAME_TIME};
use crate::crash::{Event, SAME_CRASH};
use crate::survivors::Survivors;
use crate::{Digest, Suspects};

/// Crashes in a row, none of them explained otherwise, after which a part is blocked that is not known to have been processed
/// without a crash.
const MAX_CRASHES: usize = 3;
/// The same for a part that has been processed without a crash before.
const MAX_CRASHES_OF_SURVIVOR: usize = 6;
/// Time after the start in which a node blocks nothing by itself, since it does not know yet which parts are sound.
const WARM_UP: Millis = Millis(3_000);
/// Time after a crash in which more may become known of those at the same time.
const REVIEW_TIME: Millis = Millis(2 * SAME_TIME.0);
/// Crashes in a row after which a request that crashes another replica is not repeated.
const MAX_CRASHES_FOR_REPEAT: usize = 2;
/// Time for which crashes are kept, and parts are blocked.
const MEMORY: Millis = Millis(600_000);
/// Maximum number of crashes kept.
const MAX_EVENTS: usize = 256;
/// Maximum number of blocks kept, more than the crashes kept can blame.
const MAX_BLOCKS: usize = MAX_EVENTS / MAX_CRASHES + 11;
/// Maximum number of parts of a request that are looked at.
const MAX_PARTS: usize = 8;
/// Maximum number of exonerated ids kept.
const MAX_EXONERATED: usize = 16;

/// A change of a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The parts, in ascending order.
    pub parts: Vec<u64>,
    /// Whether requests with them are refused from now on.
    pub is_blocked: bool,
    /// Crashes since the parts were last processed without one.
    pub crashes: usize,
    /// Whether this node came to it by itself, and was not told by another one or by the store.
    pub is_own: bool,
}

#[derive(Clone, Copy, Debug)]
struct State {
    at: Millis,
    is_lifted: bool,
}

/// Finds the requests and the parts that crash replicas. Both have ids, and are treated alike.
///
/// Load pattern: requests with one bad part arrive at all nodes, no two alike, among sound requests that share everything else
/// with them; or one request arrives again and again. Each crashes the replica that processes it, and with it the other requests
/// there, which were bystanders. An id is blamed by crashes of different replicas without a single request in between that was
/// processed, and crashes that a blocked id explains blame no other one.
#[derive(Clone, Debug)]
pub struct Detector {
    started: Millis,
    /// In order of arrival.
    events: VecDeque<Event>,
    /// Number of the next crash.
    next_crash: u64,
    survivors: Survivors,
    /// The same for requests, which would displace the parts.
    processed: Survivors,
    /// Ids that turned out not to explain a crash, with the time at which this became known; latest last.
    exonerated: IndexMap<u64, Millis>,
    blocks: IndexMap<Vec<u64>, State>,
}

impl Detector {
    /// Creates the detector of a node that starts now.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            events: VecDeque::new(),
            next_crash: 0,
            survivors: Survivors::default(),
            processed: Survivors::default(),
            exonerated: IndexMap::new(),
            blocks: IndexMap::new(),
        }
    }

    /// Records that a replica crashed under a request with these ids: its own and those of parts, which other requests may share.
    pub fn record_crash(&mut self, now: Millis, replica: u64, parts: &[u64]) -> Vec<Change> {
        if self.insert(replica, now, parts) {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Records that a request was processed without a crash.
    pub fn record_processed(&mut self, now: Millis, request: &Suspects) -> Vec<Change> {
        if let Some(id) = request.request() {
            self.note_survival(now, now, id);
            self.processed.record(now, id);
        }
        self.record_parts(now, request.parts());
        self.lift_disproved(now, request.ids())
    }

    /// Records that a request with these parts was processed without a crash.
    pub fn record_survival(&mut self, now: Millis, parts: &[u64]) -> Vec<Change> {
        self.record_parts(now, parts);
        self.lift_disproved(now, parts)
    }

    fn record_parts(&mut self, now: Millis, parts: &[u64]) {
        for part in parts {
            self.note_survival(now, now, *part);
            self.survivors.record(now, *part);
        }
    }

    fn lift_disproved(&mut self, now: Millis, ids: &[u64]) -> Vec<Change> {
        let disproved = |(blocked, state): (&Vec<u64>, &State)| {
            let is_disproved =
                !state.is_lifted && state.at < now && blocked.iter().all(|part| ids.contains(part));
            is_disproved.then(|| blocked.clone())
        };
        let lifted: Vec<Vec<u64>> = self.blocks.iter().filter_map(disproved).collect();
        lifted
            .into_iter()
            .filter_map(|parts| self.set(parts, now, true))
            .map(|change| Change {
                is_own: true,
                ..change
            })
            .collect()
    }

    /// Notes that an id which a crash blamed was processed at a later time.
    fn note_survival(&mut self, now: Millis, at: Millis, id: u64) {
        let before = self.last_survival(id);
        let is_cleared = |event: &Event| {
            event.at <= at && event.parts.contains(&id) && before.is_none_or(|before| before < event.at)
        };
        if !self.events.iter().any(is_cleared) {
            return;
        }
        self.exonerated.shift_remove(&id);
        self.exonerated.insert(id, now);
        if self.exonerated.len() > MAX_EXONERATED {
            self.exonerated.shift_remove_index(0);
        }
    }

    /// The last time at which a request with this id, or with a part that has it, was processed without a crash.
    fn last_survival(&self, id: u64) -> Option<Millis> {
        self.survivors.last(id).max(self.processed.last(id))
    }

    /// Records what another node knows, or what was kept of an earlier run.
    pub fn record_digest(&mut self, now: Millis, digest: &Digest) -> Vec<Change> {
        let mut changes = Vec::new();
        for block in &digest.blocks {
            if !block.parts.is_empty() && block.age < MEMORY {
                changes.extend(self.set(block.parts.clone(), now - block.age, block.is_lifted));
            }
        }
        for survival in &digest.survivals {
            let at = now - survival.age;
            self.note_survival(now, at, survival.part);
            self.survivors.record(at, survival.part);
        }
        let mut is_new = false;
        for crash in &digest.crashes {
            is_new |= crash.age < MEMORY && self.insert(crash.replica, now - crash.age, &crash.parts);
        }
        if is_new {
            changes.extend(self.evaluate(now));
        }
        changes
    }

    /// Blocks the parts that crashes blame of which enough is known only now. To be called several times a second.
    pub fn review(&mut self, now: Millis) -> Vec<Change> {
        let is_recent = |event: &Event| now.since(event.at) < REVIEW_TIME;
        if self.events.iter().any(is_recent) {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// How long requests with these ids are refused; `None` if they are not.
    pub fn blocked_for(&self, now: Millis, parts: &[u64]) -> Option<Millis> {
        let blocks = self.blocks.iter().filter(|(_, state)| !state.is_lifted);
        let matching = blocks.filter(|(blocked, _)| blocked.iter().all(|part| parts.contains(part)));
        let left = matching.map(|(_, state)| (state.at + MEMORY).since(now));
        left.max().filter(|left| *left > Millis::ZERO)
    }

    /// Whether a request whose replica crashed may be sent to another one, as far as its ids are concerned.
    pub fn may_repeat(&self, now: Millis, parts: &[u64]) -> bool {
        if self.events.is_empty() {
            return true;
        }
        let blamed = self.blamed(now);
        let is_suspect = |part: &u64| {
            self.last_survival(*part).is_none()
                && blamed
                    .get(part)
                    .is_some_and(|it| it.crashes.len() >= MAX_CRASHES_FOR_REPEAT)
        };
        self.blocked_for(now, parts).is_none() && !parts.iter().any(is_suspect)
    }

    /// Adds a crash; returns whether it was not known.
    ///
    /// NB: the times of what other nodes tell may be wrong by the time that a datagram waited, for example in the socket of a
    /// suspended node. A replica's incarnation crashes once, so the same request at it is the same crash, unless it has been
    /// processed since.
    fn insert(&mut self, replica: u64, at: Millis, parts: &[u64]) -> bool {
        let parts: Vec<u64> = parts.iter().copied().take(MAX_PARTS).collect();
        if parts.is_empty() {
            return false;
        }
        let mut crash = None;
        let mut outdated = None;
        for (index, known) in self.events.iter().enumerate() {
            if known.replica != replica {
                continue;
            }
            crash = Some(known.crash);
            if known.parts == parts {
                let is_later = at.since(known.at) >= SAME_CRASH && self.is_disproved(known);
                if !is_later {
                    return false;
                }
                outdated = Some(index);
            }
        }
        if let Some(index) = outdated {
            self.events.remove(index);
        }
        let crash = crash.unwrap_or_else(|| {
            self.next_crash += 1;
            self.next_crash
        });
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            replica,
            at,
            parts,
            crash,
        });
        true
    }

    /// Whether all that a crash blames has been processed since.
    fn is_disproved(&self, event: &Event) -> bool {
        let is_sound = |part: &u64| self.last_survival(*part).is_some_and(|last| last > event.at);
        event.parts.iter().all(is_sound)
    }

    /// Blocks or lifts the block of parts, unless something later is known. Returns what changed for requests.
    fn set(&mut self, parts: Vec<u64>, at: Millis, is_lifted: bool) -> Option<Change> {
        let before = self.blocks.get(&parts).copied();
        if before.is_some_and(|before| before.at >= at) {
            return None;
        }
        // What was processed since disproves an earlier block.
        if !is_lifted
            && parts
                .iter()
                .any(|part| self.last_survival(*part).is_some_and(|last| last > at))
        {
            return None;
        }
        let was_blocked = before.is_some_and(|before| !before.is_lifted);
        self.blocks.insert(parts.clone(), State { at, is_lifted });
        if self.blocks.len() > MAX_BLOCKS {
            let others = self.blocks.iter().filter(|(other, _)| **other != parts);
            let earliest = others.min_by_key(|(_, state)| state.at);
            if let Some(earliest) = earliest.map(|(other, _)| other.clone()) {
                self.blocks.shift_remove(&earliest);
            }
        }
        (was_blocked == is_lifted).then_some(Change {
            parts,
            is_blocked: !is_lifted,
            crashes: 0,
            is_own: false,
        })
    }

    /// Blocks the parts that the crashes blame.
    fn evaluate(&mut self, now: Millis) -> Vec<Change> {
        let mut events = std::mem::take(&mut self.events);
        events.retain(|event| now.since(event.at) < MEMORY && !self.is_disproved(event));
        self.events = events;
        let mut changes = Vec::new();
        if now.since(self.started) < WARM_UP {
            return changes;
        }
        // NB: a block makes room for the next one, whose crashes may then be blamed anew.
        for _ in 0..MAX_BLOCKS {
            let Some(change) = self.next_block(now) else { break };
            changes.push(change);
        }
        changes
    }

    fn next_block(&mut self, now: Millis) -> Option<Change> {
        let blamed = self.blamed(now);
        let mut all: Vec<(u64, Millis)> = Vec::new();
        for event in &self.events {
            let is_known = |(crash, at): &(u64, Millis)| {
                *crash == event.crash && at.since(event.at).max(event.at.since(*at)) < SAME_CRASH
            };
            if !all.iter().any(is_known) {
                all.push((event.crash, event.at));
            }
        }
        let all: Vec<Millis> = all.into_iter().map(|(_, at)| at).collect();
        let is_blamed = |(part, blame): &(u64, Blame)| {
            let is_survivor = self.last_survival(*part).is_some();
            let max = if is_survivor {
                MAX_CRASHES_OF_SURVIVOR
            } else {
                MAX_CRASHES
            };
            blame.weight(now, &all, is_survivor) >= max
        };
        let mut blamed: Vec<(u64, Blame)> = blamed.into_iter().filter(is_blamed).collect();
        blamed.sort_unstable_by_key(|(part, blame)| (std::cmp::Reverse(blame.crashes.len()), *part));
        for (part, blame) in blamed {
            let mut parts = blame.common;
            parts.retain(|other| *other == part || self.last_survival(*other).is_none());
            parts.sort_unstable();
            let is_blocked = self.blocks.get(&parts).is_some_and(|state| !state.is_lifted);
            if !is_blocked {
                let mut change = self.set(parts, now, false)?;
                change.crashes = blame.crashes.len();
                change.is_own = true;
                return Some(change);
            }
        }
        None
    }

    /// The crashes that blame each part.
    fn blamed(&self, now: Millis) -> IndexMap<u64, Blame> {
        let mut blocks: IndexMap<u64, Vec<&Vec<u64>>> = IndexMap::new();
        let in_force = || self.blocks.iter().filter(|(_, state)| !state.is_lifted);
        for event in &self.events {
            let explaining = in_force().filter(|(parts, _)| event.has_all(parts));
            blocks
                .entry(event.crash)
                .or_default()
                .extend(explaining.map(|(parts, _)| parts));
        }
        let mut blamed: IndexMap<u64, Blame> = IndexMap::new();
        for event in self.events.iter().filter(|event| now.since(event.at) < MEMORY) {
            for part in &event.parts {
                let is_sound = self.last_survival(*part).is_some_and(|last| last >= event.at);
                let explaining = blocks.get(&event.crash);
                let is_explained =
                    explaining.is_some_and(|blocks| blocks.iter().any(|block| !block.contains(part)));
                if !is_sound && !is_explained {
                    blamed.entry(*part).or_default().record(event);
                }
            }
        }
        blamed
    }
}
