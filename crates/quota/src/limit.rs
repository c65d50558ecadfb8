//! A workspace's limit, shared by nodes that tell each other what they let through.
//!
//! Load pattern: requests of very different sizes arrive at nodes at random, so that an even part of the limit is used
//! up at one node while others have room. Each node therefore counts against the whole limit, with what the others said
//! they let through. What it has not heard yet is covered by the room above the limit. A node that does not hear all
//! others falls back to its even part.

use base::Millis;
use indexmap::IndexMap;

use crate::{Bucket, Flow};

/// How far all nodes together may go over a workspace's limit.
///
/// In any `window` they may let through `(rate * window + burst) * (1 + overshoot) + slack` tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window.
    pub window: Millis,
    /// Part of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Tokens by which it may be exceeded besides.
    pub slack: f64,
}

/// A workspace's limit and the nodes that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once.
    pub burst: f64,
    /// How far it may be exceeded.
    pub bounds: Bounds,
    /// Nodes that share it.
    pub nodes: usize,
    /// Whether this node hears all others.
    pub is_connected: bool,
}

/// Part of the room above the limit that the whole uses; the rest covers what was not heard yet and what the last
/// requests owe.
const WHOLE_ROOM: f64 = 0.25;
/// Part of the room that the nodes' own parts use while they hear each other.
const PARTS_ROOM: f64 = 0.15;
/// Part of the room that they use otherwise.
const ALONE_ROOM: f64 = 0.3;

impl Terms {
    /// Tokens above the limit that are allowed in a window.
    fn room(&self) -> f64 {
        let seconds = self.bounds.window.0 as f64 / 1_000.0;
        let limit = self.rate.mul_add(seconds, self.burst);
        limit.mul_add(self.bounds.overshoot, self.bounds.slack)
    }

    fn whole(&self) -> Flow {
        Flow {
            rate: self.rate,
            cap: self.room().mul_add(WHOLE_ROOM, self.burst),
        }
    }

    /// This node's even part.
    fn part(&self) -> Flow {
        let parts = self.nodes.max(1) as f64;
        let cap = if self.is_connected {
            self.room() * PARTS_ROOM
        } else {
            self.room().mul_add(ALONE_ROOM, self.burst)
        };
        Flow {
            rate: self.rate / parts,
            cap: cap / parts,
        }
    }
}

/// One node's account of a workspace's limit.
#[derive(Clone, Debug)]
pub struct Limit {
    whole: Bucket,
    part: Bucket,
    /// Tokens that this node has let through since its start.
    total: u64,
    /// The same as the others said it, by node.
    heard: IndexMap<u64, u64>,
}

impl Limit {
    /// An account that starts now. The whole starts empty: the others may have used it up.
    pub fn new(now: Millis, terms: &Terms) -> Self {
        Self {
            whole: Bucket::new(now, 0.0),
            part: Bucket::new(now, terms.part().cap),
            total: 0,
            heard: IndexMap::new(),
        }
    }

    /// Lets a request of so many tokens through, or says when it may come back.
    pub fn take(&mut self, now: Millis, tokens: u64, terms: &Terms) -> Result<(), Millis> {
        let amount = tokens as f64;
        let mut wait = self.part.wait(now, terms.part());
        if terms.is_connected {
            wait = wait.min(self.whole.wait(now, terms.whole()));
        }
        if wait > Millis::ZERO {
            return Err(wait);
        }
        self.part.take(now, amount, terms.part());
        self.whole.take(now, amount, terms.whole());
        self.total += tokens;
        Ok(())
    }

    /// Takes back a request that did not run.
    pub const fn give_back(&mut self, tokens: u64) {
        self.part.give_back(tokens as f64);
        self.whole.give_back(tokens as f64);
        self.total = self.total.saturating_sub(tokens);
    }

    /// Another node has let through so many tokens since its start.
    pub fn hear(&mut self, now: Millis, node: u64, total: u64, terms: &Terms) {
        let before = self.heard.insert(node, total).unwrap_or(total);
        let tokens = total as f64 - before as f64;
        self.whole.take(now, tokens, terms.whole());
    }

    /// Tokens that this node has let through since its start.
    pub const fn total(&self) -> u64 {
        self.total
    }
}
