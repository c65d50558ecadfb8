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
    Whole,
    /// The stream ended early.
    Cut,
    /// The caller is gone or too slow.
    CallerGone,
}

/// Relays tokens from `expected` on; `expected` counts on as they go out.
#[derive(Debug)]
pub struct Relay<'a> {
    /// Where parts go.
    pub sender: &'a mpsc::Sender<Part>,
    /// Index of the next token that the caller lacks.
    pub expected: u32,
    /// Longest wait for the next event.
    pub idle: Duration,
}

impl Relay<'_> {
    /// Reads the replica's stream to its end, whole or not.
    pub async fn run(&mut self, response: Response) -> Relayed {
        let mut events = response.bytes_stream().eventsource();
        loop {
            let Ok(Some(Ok(event))) = timeout(self.idle, events.next()).await else {
                return Relayed::Cut;
            };
            if event.event == TERMINAL {
                return self.send(Part::Done(event.data), Relayed::Whole).await;
            }
            match self.token(event).await {
                Relayed::Whole => {}
                ended => return ended,
            }
        }
    }

    /// Passes one token on: `Whole` means that it went well.
    async fn token(&mut self, event: Event) -> Relayed {
        let Ok(index) = event.id.parse::<u32>() else {
            return Relayed::Cut;
        };
        if index < self.expected {
            // The replica repeats a token that the caller holds.
            metrics::counter!("bilberrylatch_tokens_repeated_total").increment(1);
            return Relayed::Whole;
        }
        if index > self.expected {
            return Relayed::Cut;
        }
        let sent = self
            .send(
                Part::Token(Token {
                    index,
                    data: event.data,
                }),
                Relayed::Whole,
            )
            .await;
        if sent == Relayed::Whole {
            self.expected += 1;
        }
        sent
    }

    async fn send(&self, part: Part, then: Relayed) -> Relayed {
        match timeout(CALLER_TIMEOUT, self.sender.send(part)).await {
            Ok(Ok(())) => then,
            Ok(Err(_)) | Err(_) => Relayed::CallerGone,
        }
    }
}
