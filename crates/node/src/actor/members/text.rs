//! Fetches catalogue texts by digest, parses them and applies them by generation.

use std::sync::Arc;

use base::Millis;
use bytes::Bytes;
use catalogue::Catalogue;
use kameo::message::{Context, Message};
use member::generation::{Digest, Head};
use member::gossip::{Action, Event};
use member::{Generation, config};

use super::Members;
use crate::actor::traffic;
use crate::snapshot::Snapshot;

/// Maximum number of generations whose digest or catalogue is kept.
const MAX_GENERATIONS: usize = 64;

/// Query to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Read the head record.
    Head,
    /// Read the text of a generation, unless a peer delivers it first.
    Text(Head),
}

/// Catalogue text read from the platform.
#[derive(Clone, Debug)]
pub struct TextRead(pub Bytes);

impl Message<TextRead> for Members {
    type Reply = ();

    async fn handle(&mut self, text: TextRead, _context: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        let actions = self.receive_text(now, Digest::of(&text.0), &text.0).await;
        self.perform_all(now, actions).await;
    }
}

impl Members {
    /// Requests a text from peers, and from the platform in case no peer has it.
    pub(super) fn fetch(&mut self, now: Millis, generation: Generation) -> Vec<Action> {
        let Some(digest) = self.digests.get(&generation).copied() else {
            self.query(Query::Head);
            return Vec::new();
        };
        self.query(Query::Text(Head { generation, digest }));
        self.gossip.step(now, Event::Fetch(digest))
    }

    /// Requests the text of the newest known generation if it is not applied yet.
    pub(super) fn fetch_missing(&mut self, now: Millis) -> Vec<Action> {
        match self.config.known() {
            Some(known) if self.config.applied() < Some(known) => self.fetch(now, known),
            _applied => Vec::new(),
        }
    }

    /// Parses and caches a text whose digest belongs to a known generation; ignores other texts.
    pub(super) async fn receive_text(&mut self, now: Millis, digest: Digest, bytes: &Bytes) -> Vec<Action> {
        let found = self
            .digests
            .iter()
            .rev()
            .find(|(_generation, known)| **known == digest);
        let Some(generation) = found.map(|(generation, _digest)| *generation) else {
            return Vec::new();
        };
        let Some(snapshot) = parse(generation, bytes) else {
            return Vec::new();
        };
        self.checked.insert(generation, snapshot);
        trim(&mut self.checked);
        trim(&mut self.digests);
        let mut actions = self.gossip.step(now, Event::Cache(bytes.clone()));
        actions.extend(self.config_actions(now, config::Event::Fetched(generation)).await);
        actions
    }

    /// Applies a generation on this node.
    pub(super) async fn apply(&mut self, now: Millis, generation: Generation) -> Vec<Action> {
        let Some(snapshot) = self.checked.get(&generation).cloned() else {
            return Vec::new();
        };
        self.checked.retain(|other, _snapshot| *other > generation);
        if let Some(catalogue) = &snapshot.catalogue {
            if !catalogue.zones.contains(&self.node.zone) {
                metrics::counter!("bilberrylatch_zone_unknown_total").increment(1);
                log::error!(
                    "zone '{}' of this node is not in the catalogue's 'zones'; correct --zone",
                    self.node.zone
                );
            }
            let nodes = self.gossip.view().present().count() as u32;
            let apply = traffic::Apply {
                catalogue: Arc::clone(catalogue),
                nodes,
            };
            let _gone = self.traffic.tell(apply).await;
        }
        log::info!(generation = generation.0; "applied catalogue generation {}", generation.0);
        metrics::gauge!("bilberrylatch_catalogue_generation").set(generation.0 as f64);
        self.snapshot.send_replace(Arc::new(snapshot));
        let serving = self.config.serving(now).is_ok();
        self.gossip.step(now, Event::Applied { generation, serving })
    }
}

fn parse(generation: Generation, bytes: &Bytes) -> Option<Snapshot> {
    let text = std::str::from_utf8(bytes).ok()?;
    match Catalogue::parse(text) {
        Ok(catalogue) => Some(Snapshot {
            generation: generation.0,
            text: Arc::from(text),
            catalogue: Some(Arc::new(catalogue)),
        }),
        Err(findings) => {
            log::error!(
                "failed to parse catalogue generation {}: {findings}",
                generation.0
            );
            None
        }
    }
}

fn trim<V>(generations: &mut indexmap::IndexMap<Generation, V>) {
    while generations.len() > MAX_GENERATIONS {
        generations.shift_remove_index(0);
    }
}
