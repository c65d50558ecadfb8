//! A request that was sent to a replica and has no response yet.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use base::Millis;

use super::in_flight::InFlight;
use crate::upstream::{PendingResponse, SendError};

/// The replica that a request was sent to, and what was known of it then.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Id of the replica.
    pub replica: Arc<str>,
    /// Expected time to the response or first event.
    pub expected_wait: Millis,
    /// Prompt tokens that the replica was expected to compute.
    pub prefill_tokens: u32,
    /// Age of the view when the replica was chosen; `None` if it was never confirmed.
    pub view_age: Option<Millis>,
    /// Time from the choice until the request was sent.
    pub send_delay: Millis,
}

impl Default for Target {
    /// No replica.
    fn default() -> Self {
        Self {
            replica: Arc::from(""),
            expected_wait: Millis::ZERO,
            prefill_tokens: 0,
            view_age: None,
            send_delay: Millis::ZERO,
        }
    }
}

/// Sends a request when it is first polled, and waits for the head of the response.
pub(super) type Exchange = Pin<Box<dyn Future<Output = Result<PendingResponse, SendError>> + Send>>;

/// A request that waits for the head of the response. The connection closes when it is dropped.
pub(super) struct Sent {
    /// The dispatch.
    pub in_flight: InFlight,
    /// The exchange with the replica.
    pub exchange: Exchange,
    /// How long the replica may take for the head before it counts as silent.
    pub patience: Millis,
}

impl fmt::Debug for Sent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sent")
            .field("in_flight", &self.in_flight)
            .field("patience", &self.patience)
            .finish_non_exhaustive()
    }
}
