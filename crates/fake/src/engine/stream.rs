//! Responses as event streams.

use std::convert::Infallible;
use std::sync::Arc;

use axum::response::sse::Event;
use futures::Stream;
use serde::Serialize;
use tokio::sync::mpsc;

use super::completion::{Done, Token};
use super::model::Output;
use super::reply::Reply;
use super::shared::Shared;
use super::token::token;
use crate::fault::Corruption;
use crate::fault::injector::Guard;
use crate::net::Peer;
use crate::replica::buffered::RESET_DELAY;

/// Outputs of an active sequence. Dropping it before the end cancels the sequence.
#[derive(Debug)]
pub struct Generation {
    shared: Arc<Shared>,
    id: u64,
    outputs: mpsc::UnboundedReceiver<Output>,
    guard: Option<Guard>,
}

impl Generation {
    pub fn new(shared: Arc<Shared>, id: u64, outputs: mpsc::UnboundedReceiver<Output>) -> Self {
        Self {
            shared,
            id,
            outputs,
            guard: None,
        }
    }

    /// Counts the request as in flight until the generation is dropped.
    pub fn with_guard(mut self, guard: Guard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Returns the next output, or `None` after the end or a cancellation.
    pub async fn next(&mut self) -> Option<Output> {
        let output = self.outputs.recv().await;
        self.shared.injector.wait_until_unfrozen().await;
        output
    }

    /// Waits for the end of the sequence. Returns false if it was cancelled.
    pub async fn wait_until_done(&mut self) -> bool {
        while let Some(output) = self.next().await {
            if matches!(output, Output::Done { .. }) {
                return true;
            }
        }
        false
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.shared.cancel(self.id);
    }
}

/// Returns the events of a response with its corruption applied.
pub fn events(
    mut generation: Generation,
    reply: Reply,
    corruption: Option<Corruption>,
    peer: Peer,
) -> impl Stream<Item = Result<Event, Infallible>> {
    let midpoint = reply.start + (reply.end.saturating_sub(reply.start)) / 2;
    async_stream::stream! {
        while let Some(output) = generation.next().await {
            let Output::Token { index, .. } = output else {
                let tokens = reply.end;
                yield Ok(event(&Done { tokens }).event("done"));
                return;
            };
            if corruption == Some(Corruption::Truncate) && index >= midpoint {
                return;
            }
            if corruption == Some(Corruption::Cut) && index >= midpoint {
                tokio::time::sleep(RESET_DELAY).await;
                peer.0.reset();
                return;
            }
            let token = Token { token: token(&reply.prompt, index) };
            let copies = 1 + u32::from(corruption == Some(Corruption::Duplicate));
            for _ in 0..copies {
                yield Ok(event(&token).id(index.to_string()));
            }
        }
    }
}

fn event<T>(data: &T) -> Event
where
    T: Serialize,
{
    Event::default().data(serde_json::to_string(data).unwrap_or_default())
}
