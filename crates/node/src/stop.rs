//! The phases of a node's life.

use std::sync::Arc;

use tokio::sync::watch;

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Work is taken.
    Serving,
    /// The address is withdrawn; accepted work goes on.
    Draining,
    /// All is handed over or finished.
    Ended,
}

/// Tells every task which phase the node is in. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Stop {
    sender: Arc<watch::Sender<Phase>>,
    fenced: Arc<watch::Sender<bool>>,
}

impl Stop {
    /// A node that serves.
    pub fn new() -> Self {
        let (sender, _receiver) = watch::channel(Phase::Serving);
        let (fenced, _receiver) = watch::channel(false);
        Self {
            sender: Arc::new(sender),
            fenced: Arc::new(fenced),
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Moves on to `phase`; a phase never goes back.
    pub fn advance(&self, phase: Phase) {
        self.sender.send_if_modified(|current| {
            let forward = phase > *current;
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Says that this incarnation may have been declared gone.
    pub fn fence(&self) {
        self.fenced.send_replace(true);
    }

    /// Waits until this incarnation may have been declared gone.
    pub async fn fenced(&self) {
        let mut receiver = self.fenced.subscribe();
        let _closed = receiver.wait_for(|fenced| *fenced).await;
    }

    /// Waits until `phase` is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.sender.subscribe();
        let _closed = receiver.wait_for(|current| *current >= phase).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}
