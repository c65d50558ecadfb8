//! Long polls for writes.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::page::Page;
use super::route;
use super::shared::Shared;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    prefix: String,
    after: u64,
    timeout_ms: u64,
}

/// Body of a 410: the revision to list anew from.
#[derive(Debug, Serialize)]
struct Gap {
    revision: u64,
}

/// A watch that waits now; dropped when its caller goes away too.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.lock().counts.waiting += 1;
        Self(Arc::clone(shared))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().counts.waiting -= 1;
    }
}

/// Answers once there are writes after the revision asked for, or at the timeout.
pub async fn watch(State(shared): State<Arc<Shared>>, Query(watch): Query<Watch>) -> Response {
    let _waiting = Waiting::new(&shared);
    let deadline = Instant::now() + Duration::from_millis(watch.timeout_ms);
    loop {
        // Registered before the look, so that no write falls between.
        let written = shared.written.notified();
        let (revision, page) = look(&shared, &watch);
        let Some(page) = page else {
            return (StatusCode::GONE, Json(Gap { revision })).into_response();
        };
        if !page.values.is_empty() || Instant::now() >= deadline {
            return route::page_response(&page);
        }
        tokio::select! {
            () = written => {}
            () = tokio::time::sleep_until(deadline) => {}
        }
    }
}

fn look(shared: &Shared, watch: &Watch) -> (u64, Option<Page>) {
    let state = shared.lock();
    let page = state.store.changes(&watch.prefix, watch.after);
    (state.store.revision(), page)
}
