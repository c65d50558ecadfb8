//! Requests and prompt parts that crash replicas.

use base::Millis;
use poison::{Block, Change, Digest, Suspects};

use super::{Shared, lock};
use crate::blocks::Record;

/// How a node learned that ids are blocked, or not any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// By requests that were processed, or under which replicas crashed.
    Own,
    /// From another node.
    Peer,
    /// From the store.
    Store,
}

impl Source {
    const fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

impl Shared {
    /// Records that a replica's connection broke before it had sent much of its response to a request. The replica is given by
    /// the hash of its incarnation.
    pub fn record_crash(&self, replica: u64, request: &Suspects) {
        let changes = lock(&self.poison).record_crash(self.now(), replica, request.ids());
        self.handle_blocks(changes, Source::Own);
    }

    /// Records that a replica processed a request.
    pub fn record_survival(&self, request: &Suspects) {
        let changes = lock(&self.poison).record_processed(self.now(), request);
        self.handle_blocks(changes, Source::Own);
    }

    /// Records what another node knows of crashes.
    pub fn record_poison_digest(&self, digest: &Digest) {
        let changes = lock(&self.poison).record_digest(self.now(), digest);
        self.handle_blocks(changes, Source::Peer);
    }

    /// Records a block that the store keeps.
    pub fn record_stored_block(&self, record: &Record) {
        let now = self.now();
        let age = self.wall_clock().unix_ms(now).map_or(Millis::ZERO, |unix_ms| {
            Millis(unix_ms.saturating_sub(record.since_unix_ms))
        });
        let digest = Digest {
            blocks: vec![Block {
                parts: record.parts.clone(),
                age,
                is_lifted: false,
            }],
            ..Digest::default()
        };
        let changes = lock(&self.poison).record_digest(now, &digest);
        self.handle_blocks(changes, Source::Store);
    }

    /// What the other nodes should know of crashes.
    pub fn poison_digest(&self) -> Digest {
        let now = self.now();
        let changes = lock(&self.poison).review(now);
        self.handle_blocks(changes, Source::Own);
        lock(&self.poison).digest(now)
    }

    /// How long a request is refused because it or parts of it crash replicas; `None` if it is not.
    pub fn blocked_for(&self, request: &Suspects) -> Option<Millis> {
        lock(&self.poison).blocked_for(self.now(), request.ids())
    }

    /// Whether a request may be sent to another replica after one has crashed or is silent.
    pub fn may_repeat(&self, request: &Suspects) -> bool {
        lock(&self.poison).may_repeat(self.now(), request.ids())
    }

    fn handle_blocks(&self, changes: Vec<Change>, told_by: Source) {
        for change in changes {
            let source = if change.is_own { Source::Own } else { told_by };
            let ids: Vec<String> = change.parts.iter().map(|part| format!("{part:x}")).collect();
            let ids = ids.join(",");
            metrics::counter!("bilberrylatch_prompt_blocks_total", "blocked" => change.is_blocked.to_string())
                .increment(1);
            if change.is_blocked {
                log::warn!(ids, source = source.label(), crashes = change.crashes;
                    "requests with these ids crash replicas and are refused");
            } else {
                log::warn!(ids, source = source.label(); "requests with these ids are no longer refused");
            }
            if change.is_own {
                self.blocks_changed.send_if_modified(|pending| {
                    pending.push(change);
                    true
                });
            }
        }
    }
}
