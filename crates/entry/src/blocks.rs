//! Keeps the blocks of requests and prompt parts in the store, so that they outlast all nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use poison::Change;
use serde::{Deserialize, Serialize};
use store::{Condition, Error, Write};
use tokio::time::sleep;

use crate::Shared;
use crate::lifecycle::Phase;

/// Key prefix of the records, after the internal prefix.
pub const BLOCKS_PREFIX: &str = "blocks/";
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A block as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Ids of requests and parts, in ascending order.
    pub parts: Vec<u64>,
    /// When they were blocked, in Unix milliseconds.
    pub since_unix_ms: u64,
}

/// Writes the blocks that this node has found, and deletes those that it has lifted, until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let mut changed = shared.blocks_changed.subscribe();
    loop {
        tokio::select! {
            // This cannot fail, as the sender lives as long as `shared`.
            _changed = changed.changed() => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        let mut changes = Vec::new();
        shared.blocks_changed.send_if_modified(|pending| {
            std::mem::swap(pending, &mut changes);
            false
        });
        for change in changes {
            while let Err(error) = write(&shared, &change).await {
                log::warn!(cause:% = error; "block of requests not written");
                tokio::select! {
                    () = sleep(RETRY_DELAY) => {}
                    () = shared.lifecycle.reached(Phase::Ended) => return,
                }
            }
        }
    }
}

async fn write(shared: &Shared, change: &Change) -> Result<(), Error> {
    let names: Vec<String> = change.parts.iter().map(|part| format!("{part:x}")).collect();
    let key = format!(
        "{}{BLOCKS_PREFIX}{}",
        shared.edge.internal_prefix(),
        names.join("-")
    );
    let write = if change.is_blocked {
        let record = Record {
            parts: change.parts.clone(),
            since_unix_ms: shared.wall_clock().unix_ms(shared.now()).unwrap_or(0),
        };
        let value = serde_json::to_vec(&record).map_err(|error| Error::Protocol(error.to_string()))?;
        Write::new(key, Bytes::from(value), Condition::Any)
    } else {
        Write::delete(key, Condition::Any)
    };
    shared.store.write(&write).await.map(|_revision| ())
}
