//! Relays a stream of tokens so that the caller gets each token once.

use std::time::Duration;

use eventsource_stream::{Event, Eventsource};
use futures::StreamExt;
use reqwest::Response;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{Part, Token};

/// Name of the event that ends a complete stream.
const TERMINAL: &str = "done";

/// Maximum time to wait for a slow caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of relaying a replica's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relayed {
    /// The terminal event arrived.
    Complete,
    /// The stream ended early.
    Interrupted,
    /// The caller has disconnected or reads too slowly.
    CallerGone,
}

/// Relays tokens from `next_index` on, and advances it with each token that is sent.
#[derive(Debug)]
pub struct Relay<'a> {
    /// Channel to the caller's connection.
    pub sender: &'a mpsc::Sender<Part>,
    /// Index of the next token to send to the caller.
    pub next_index: u32,
    /// Idle timeout while waiting for the next event.
    pub idle: Duration,
}

impl Relay<'_> {
    /// Relays the replica's stream until it ends or breaks.
    pub async fn run(&mut self, response: Response) -> Relayed {
        let mut events = response.bytes_stream().eventsource();
        loop {
            let Ok(Some(Ok(event))) = timeout(self.idle, events.next()).await else {
                return Relayed::Interrupted;
            };
            if event.event == TERMINAL {
                return self.send(Part::Done(event.data), Relayed::Complete).await;
            }
            match self.relay_token(event).await {
                Relayed::Complete => {}
                ended => return ended,
            }
        }
    }

    /// Relays a token; returns [`Relayed::Complete`] on success.
    async fn relay_token(&mut self, event: Event) -> Relayed {
        let Ok(index) = event.id.parse::<u32>() else {
            return Relayed::Interrupted;
        };
        if index < self.next_index {
            // The replica repeated a token that was already delivered.
            metrics::counter!("bilberrylatch_tokens_repeated_total").increment(1);
            return Relayed::Complete;
        }
        if index > self.next_index {
            return Relayed::Interrupted;
        }
        let sent = self
            .send(
                Part::Token(Token {
                    index,
                    data: event.data,
                }),
                Relayed::Complete,
            )
            .await;
        if sent == Relayed::Complete {
            self.next_index += 1;
        }
        sent
    }

    async fn send(&self, part: Part, on_success: Relayed) -> Relayed {
        match timeout(CALLER_TIMEOUT, self.sender.send(part)).await {
            Ok(Ok(())) => on_success,
            Ok(Err(_)) | Err(_) => Relayed::CallerGone,
        }
    }
}
