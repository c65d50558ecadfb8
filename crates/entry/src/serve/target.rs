//! The replica that a request was sent to, for log lines.

use std::sync::{Arc, OnceLock};

use base::{Incarnation, Millis};

/// The replica that a request was sent to, and what was known of it then.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Id of the replica.
    pub replica: Arc<str>,
    /// Expected time to the response or first event.
    pub expected_wait: Millis,
    /// Prompt tokens that the replica was expected to compute.
    pub prefill_tokens: u32,
    /// Whether it took only capacity that others don't need.
    pub is_spare: bool,
    /// Age of the view when the replica was chosen; `None` if it was never confirmed.
    pub view_age: Option<Millis>,
    /// Time from the choice until the request was sent.
    pub send_delay: SendDelay,
    /// The node through which it was sent, if not from here.
    pub intermediary: Option<Incarnation>,
}

/// Time until a request was sent, which the exchange records.
#[derive(Clone, Debug, Default)]
pub(super) struct SendDelay(Arc<OnceLock<Millis>>);

impl SendDelay {
    /// Records the time.
    pub fn record(&self, delay: Millis) {
        // It is sent once.
        let _first = self.0.set(delay);
    }

    /// The time; `None` if the request was not sent.
    pub fn get(&self) -> Option<Millis> {
        self.0.get().copied()
    }
}

impl Target {
    /// The node through which it was sent, for log lines; empty if there is none.
    pub fn through(&self) -> String {
        self.intermediary
            .map_or_else(String::new, |node| node.to_string())
    }
}

impl Default for Target {
    /// No replica.
    fn default() -> Self {
        Self {
            replica: Arc::from(""),
            expected_wait: Millis::ZERO,
            prefill_tokens: 0,
            is_spare: false,
            view_age: None,
            send_delay: SendDelay::default(),
            intermediary: None,
        }
    }
}
