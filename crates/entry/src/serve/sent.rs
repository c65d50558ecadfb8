//! Requests that were sent to replicas and have no response yet.

use std::fmt;
use std::pin::Pin;

use base::Millis;
use futures::future::{pending, select_all};

use super::in_flight::InFlight;
use crate::upstream::{PendingResponse, SendError};

/// Why there is no response to a request.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, since the node through which it would have gone took no request.
    Declined(String),
    /// The request may have reached the replica.
    Lost(String),
}

impl From<SendError> for ExchangeError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) => Self::NotSent(cause),
            SendError::Lost(cause) => Self::Lost(cause),
        }
    }
}

/// The head of the response to a request.
pub(super) type Exchanged = Result<PendingResponse, ExchangeError>;

/// Connects, sends a request and waits for the head of the response.
pub(super) type Exchange = Pin<Box<dyn Future<Output = Exchanged> + Send>>;

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

/// Waits for the first exchange that ends, and returns its index; never ends if there are none. Cancel safe.
pub(super) async fn first(sent: &mut [Sent]) -> (usize, Exchanged) {
    if sent.is_empty() {
        return pending().await;
    }
    let (exchanged, index, _others) = select_all(sent.iter_mut().map(|it| &mut it.exchange)).await;
    (index, exchanged)
}
