//! Relaying a stream of tokens, so that the caller sees each token once.

use std::time::Duration;

use eventsource_stream::{Event, Eventsource};
use futures::StreamExt;
use reqwest::Response;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{Part, Token};

/// Name of the event that ends a whole stream.
const TERMINAL: &str = "done";

/// Longest wait for a caller that reads slowly.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// How the relaying of one replica's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relayed {
    /// The terminal event came.
    Complete,
    /// The stream ended early.
    Interrupted,
    /// The caller is gone or too slow.
    CallerGone,
}

/// Relays tokens from `next_index` on; `next_index` counts on as they go out.
#[derive(Debug)]
pub struct Relay<'a> {
    /// Where parts go.
    pub sender: &'a mpsc::Sender<Part>,
    /// Index of the next token that the caller lacks.
    pub next_index: u32,
    /// Longest wait for the next event.
    pub idle: Duration,
}

impl Relay<'_> {
    /// Reads the replica's stream to its end, whole or not.
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

    /// Passes one token on: `Answer` means that it went well.
    async fn relay_token(&mut self, event: Event) -> Relayed {
        let Ok(index) = event.id.parse::<u32>() else {
            return Relayed::Interrupted;
        };
        if index < self.next_index {
            // The replica repeats a token that the caller holds.
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
