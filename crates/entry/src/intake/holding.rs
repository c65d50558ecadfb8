//! Memory that a request holds.

use std::sync::Arc;
use std::time::Duration;

use ::intake::{Decision, Key};
use base::Millis;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::Memory;

/// Maximum time that a request waits for memory.
const MAX_WAIT: Millis = Millis(1_000);
/// Interval between two attempts to get memory. Waking all that wait whenever memory is released would cost more.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// A request was given up, or waited in vain for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// Memory that a request holds until dropped.
#[derive(Debug)]
pub struct Holding {
    memory: Arc<Memory>,
    key: Key,
    evicted: Arc<Notify>,
}

impl Holding {
    pub(super) const fn new(memory: Arc<Memory>, key: Key, evicted: Arc<Notify>) -> Self {
        Self { memory, key, evicted }
    }

    /// Waits until the request may hold this many bytes. Returns whether it had to wait.
    pub async fn grow(&self, wanted: usize) -> Result<bool, NoMemory> {
        let clock = self.memory.clock();
        let began = clock.now();
        let mut has_waited = false;
        loop {
            match self.memory.grow(self.key, wanted) {
                Decision::Granted => return Ok(has_waited),
                Decision::Refused => return Err(NoMemory),
                Decision::Wait | Decision::Evict(_) if clock.now().since(began) >= MAX_WAIT => {
                    return Err(NoMemory);
                }
                Decision::Wait | Decision::Evict(_) => {}
            }
            has_waited = true;
            tokio::select! {
                () = self.evicted() => return Err(NoMemory),
                () = sleep(RETRY_INTERVAL) => {}
            }
        }
    }

    /// Waits until the request is given up for another one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that a part of the body has arrived.
    pub fn progress(&self) {
        self.memory.progress(self.key);
    }

    /// Records that the body is complete. From then on the request is not given up.
    pub fn complete(&self) -> Result<(), NoMemory> {
        if self.memory.complete(self.key) {
            Ok(())
        } else {
            Err(NoMemory)
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.memory.close(self.key);
    }
}
