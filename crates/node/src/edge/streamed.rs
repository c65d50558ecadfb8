//! Streams tokens to the caller.

use std::convert::Infallible;

use axum::response::sse::{Event, KeepAlive, Sse};
use axum::response::{IntoResponse, Response};
use futures::Stream;
use tokio::sync::mpsc;

use super::{Problem, call};
use crate::dispatch::header::{VERSION, value};
use crate::dispatch::{Driver, End, Outgoing, Part};
use crate::shared::Shared;

/// Number of parts buffered for a slow caller.
const PART_QUEUE: usize = 1024;

/// Serves an idempotent request whose answer is streamed.
pub async fn serve(shared: &Shared, outgoing: Outgoing) -> Response {
    let Some(driver) = Driver::start(shared.clone(), outgoing).await else {
        return Problem::stopping().into_response();
    };
    let (sender, mut parts) = mpsc::channel(PART_QUEUE);
    let mut driver = driver.with_parts(sender);
    let end = tokio::spawn(async move { driver.run().await });
    match parts.recv().await {
        Some(Part::Began { version }) => {
            let mut response = Sse::new(events(parts))
                .keep_alive(KeepAlive::default())
                .into_response();
            response.headers_mut().insert(VERSION, value(version.as_str()));
            response
        }
        Some(Part::Refused(refusal)) => Problem::from_refusal(refusal).into_response(),
        // The replica answered with an error status.
        Some(Part::Token(_) | Part::Done(_)) | None => match end.await {
            Ok(End::Answered(answer)) => call::response(answer),
            _other => call::node_failed(base::Outcome::Unknown).into_response(),
        },
    }
}

/// Converts parts to events: tokens with their index as id, then `done` or `error`.
fn events(mut parts: mpsc::Receiver<Part>) -> impl Stream<Item = Result<Event, Infallible>> {
    async_stream::stream! {
        while let Some(part) = parts.recv().await {
            match part {
                Part::Began { .. } => {}
                Part::Token(token) => yield Ok(Event::default().id(token.index.to_string()).data(token.data)),
                Part::Done(data) => {
                    yield Ok(Event::default().event("done").data(data));
                    return;
                }
                Part::Refused(refusal) => {
                    let problem = Problem::from_refusal(refusal).to_json();
                    yield Ok(Event::default().event("error").data(problem));
                    return;
                }
            }
        }
    }
}
