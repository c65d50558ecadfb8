//! Texts of the catalogue: fetched by digest, checked, applied by generation.

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

/// Generations whose digest or text is generations.
const MAX_GENERATIONS: usize = 64;

/// What the platform is query for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The head record.
    Head,
    /// The text of a generation, unless a peer gives it first.
    Text(Head),
}

/// A text that the platform gave.
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
    /// Asks peers, and the platform in case no peer has it.
    pub(super) fn fetch(&mut self, now: Millis, generation: Generation) -> Vec<Action> {
        let Some(digest) = self.digests.get(&generation).copied() else {
            self.query(Query::Head);
            return Vec::new();
        };
        self.query(Query::Text(Head { generation, digest }));
        self.gossip.step(now, Event::Fetch(digest))
    }

    /// Asks for the text of the newest generation, if it is known and not applied.
    pub(super) fn fetch_missing(&mut self, now: Millis) -> Vec<Action> {
        match self.config.known() {
            Some(known) if self.config.applied() < Some(known) => self.fetch(now, known),
            _applied => Vec::new(),
        }
    }

    /// Takes a text in if a known generation has it.
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
        actions.extend(self.config_step(now, config::Event::Fetched(generation)).await);
        actions
    }

    /// Puts a generation in force.
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
        log::info!(generation = generation.0; "catalogue generation {} in force here", generation.0);
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
            log::error!("catalogue generation {} can't be read: {findings}", generation.0);
            None
        }
    }
}

fn trim<V>(generations: &mut indexmap::IndexMap<Generation, V>) {
    while generations.len() > MAX_GENERATIONS {
        generations.shift_remove_index(0);
    }
}
