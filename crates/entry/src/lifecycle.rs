//! Lifecycle of a node, from serving to the end of a graceful shutdown.

use std::sync::OnceLock;

use place::shutdown::Shutdown;
use tokio::sync::watch;

/// Phase of the lifecycle, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node serves requests.
    Serving,
    /// The node is no longer ready. It still serves requests, and closes each connection after the response.
    Leaving,
    /// Idle connections are closed, and requests in flight finish.
    Closing,
    /// The process ends.
    Ended,
}

/// The phase of a node, observed by all its tasks.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    sender: watch::Sender<Phase>,
    /// Start and deadline of the shutdown, once it has begun.
    shutdown: OnceLock<Shutdown>,
}

impl Lifecycle {
    /// Creates the state of a running node.
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(Phase::Serving),
            shutdown: OnceLock::new(),
        }
    }

    /// Begins the shutdown.
    pub fn begin(&self, shutdown: Shutdown) {
        // Later calls have no effect.
        let _first = self.shutdown.set(shutdown);
        self.enter(Phase::Leaving);
    }

    /// Start and deadline of the shutdown; `None` if it has not begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get().copied()
    }

    /// Moves to a phase.
    pub fn enter(&self, phase: Phase) {
        self.sender.send_replace(phase);
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Waits until a phase is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.sender.subscribe();
        // This cannot fail, as the sender lives as long as `self`.
        let _closed = receiver.wait_for(|now| *now >= phase).await;
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self::new()
    }
}
