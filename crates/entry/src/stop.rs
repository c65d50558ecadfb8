//! The phases of a graceful stop.

use std::sync::OnceLock;

use place::shutdown::Shutdown;
use tokio::sync::watch;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node serves.
    Running,
    /// The node is not ready any more; what still comes is served and connections are closed after it.
    Leaving,
    /// Idle connections are closed; requests in flight end.
    Closing,
    /// The process ends.
    Ended,
}

/// The phase of one node, told to all its tasks.
#[derive(Clone, Debug)]
pub struct Stop {
    sender: watch::Sender<Phase>,
    /// The node's end, once it leaves.
    shutdown: OnceLock<Shutdown>,
}

impl Stop {
    /// A node that runs.
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(Phase::Running),
            shutdown: OnceLock::new(),
        }
    }

    /// Begins to leave.
    pub fn begin(&self, shutdown: Shutdown) {
        // A second order to leave changes nothing.
        let _first = self.shutdown.set(shutdown);
        self.enter(Phase::Leaving);
    }

    /// The node's end; none if it stays.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get().copied()
    }

    /// Moves on to a phase.
    pub fn enter(&self, phase: Phase) {
        self.sender.send_replace(phase);
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Waits until a phase is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`.
        let _closed = receiver.wait_for(|now| *now >= phase).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}
