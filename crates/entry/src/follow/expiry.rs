//! Applies deferred deletions and withheld records when they are due, also while a call to the store is waiting.

use std::sync::{Arc, Mutex};

use base::Millis;
use tokio::time::sleep;

use super::apply::Applier;
use super::lock;
use crate::Shared;
use crate::lifecycle::Phase;

/// Maximum time until they are looked at again.
const MAX_WAIT: Millis = Millis(60_000);

/// Runs until the node stops.
pub(super) async fn run(shared: Arc<Shared>, applier: Arc<Mutex<Applier>>) {
    loop {
        let due = lock(&applier).apply_due();
        let wait = due.map_or(MAX_WAIT, |due| due.since(shared.now()).min(MAX_WAIT));
        tokio::select! {
            () = sleep(wait.as_duration()) => {}
            () = shared.deletions_changed() => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
    }
}
