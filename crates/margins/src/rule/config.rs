//! CONFIG: when configurations are in force, and whether an older one comes back.

mod node;

use std::collections::BTreeMap;

use self::node::Node;
use super::Context;
use crate::event::Id;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of nodes, and of versions.
const MAX_NODES: usize = 1 << 14;
const MAX_VERSIONS: usize = 1 << 16;

/// The margins of configurations.
#[derive(Debug)]
pub struct Config {
    applied: Margin,
    back: Margin,
    /// When the first node put each version into force.
    versions: BTreeMap<u64, Time>,
    dropped: u64,
    nodes: Bounded<Name, Node>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            applied: Margin::new(
                "CONFIG",
                "ms from the first node to the last that has a configuration in force",
            )
            .with_lacks("when the store acknowledged it"),
            back: Margin::new("CONFIG", "ms after which an older configuration came back"),
            versions: BTreeMap::new(),
            dropped: 0,
            nodes: Bounded::new(MAX_NODES),
        }
    }
}

impl Config {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        match event {
            Event::Started { node, last } => {
                if let Some(last) = last {
                    self.judge_open(*node, *last, context);
                }
                if let Some(own) = self.node(*node, at) {
                    *own = Node::new(at);
                }
            }
            Event::Appeared { node } => {
                let _state = self.node(*node, at);
            }
            Event::Configured { node, version } => self.configure(at, *node, *version, context),
            Event::Handled {
                request,
                node,
                version,
            } => self.judge_handled(at, request, *node, *version, context),
            _ => {}
        }
    }

    /// Judges the versions that nodes did not have by their last line.
    pub fn finish(&mut self, nodes: &Bounded<Name, Time>, context: Context<'_>) {
        for (node, last) in nodes.iter() {
            self.judge_open(*node, *last, context);
        }
    }

    /// The margins.
    pub const fn margins(&self) -> [&Margin; 2] {
        [&self.applied, &self.back]
    }

    /// Number of nodes and versions that there was no room for.
    pub const fn overflow(&self) -> u64 {
        self.nodes.overflow() + self.dropped
    }

    fn node(&mut self, node: Name, at: Time) -> Option<&mut Node> {
        self.nodes.get_or_insert_with(node, || Node::new(at))
    }

    fn configure(&mut self, at: Time, node: Name, version: u64, context: Context<'_>) {
        self.versions.entry(version).or_insert(at);
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
            self.dropped += 1;
        }
        let Some(own) = self.nodes.get_or_insert_with(node, || Node::new(at)) else {
            return;
        };
        let place = Place::new(at).with_node(node);
        let bound = context.bounds.rollback_slack_ms;
        if let Some(age) = own.age_of_newer(at, version) {
            self.back.see(age as f64, bound, place);
            return;
        }
        self.back.open(bound);
        let missing = own.version().map_or(0, |it| it.saturating_add(1));
        own.configure(at, version);
        let started = own.started;
        self.judge_lag(at, node, started, missing, version, context);
    }

    /// Judges what a node did not have by its last line.
    fn judge_open(&mut self, node: Name, last: Time, context: Context<'_>) {
        let Some(own) = self.nodes.get(&node) else { return };
        let started = own.started;
        let missing = own.version().map_or(0, |it| it.saturating_add(1));
        self.judge_lag(last, node, started, missing, u64::MAX, context);
    }

    /// Judges how late a node is, at `at`, with the versions from `missing` to `version`. A node is not late with what was
    /// in force before it started.
    fn judge_lag(
        &mut self,
        at: Time,
        node: Name,
        started: Time,
        missing: u64,
        version: u64,
        context: Context<'_>,
    ) {
        if missing > version {
            return;
        }
        let bound = context.bounds.config_apply_ms;
        let known = self.versions.range(missing..=version);
        for first in known.map(|(_, first)| *first).filter(|first| *first <= at) {
            let lag = at.since(first.max(started));
            self.applied
                .see(lag as f64, bound, Place::new(at).with_node(node));
        }
    }

    fn judge_handled(&mut self, at: Time, request: &Id, node: Name, version: u64, context: Context<'_>) {
        let bound = context.bounds.rollback_slack_ms;
        let own = self.nodes.get(&node);
        let Some(own) = own.filter(|own| own.version().is_some()) else {
            return;
        };
        match own.age_of_newer(at, version) {
            Some(age) => {
                let place = Place::new(at).with_node(node).with_request(request);
                self.back.see(age as f64, bound, place);
            }
            None => self.back.open(bound),
        }
    }
}
