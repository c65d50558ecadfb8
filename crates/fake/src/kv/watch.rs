//! Watches: long polls for writes.

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
pub struct WatchQuery {
    prefix: String,
    after: u64,
    timeout_ms: u64,
}

/// Body of a 410 response, with the current revision.
#[derive(Debug, Serialize)]
struct Compacted {
    revision: u64,
}

/// Counts a watch as waiting until dropped, which also happens when the client disconnects.
struct Waiter(Arc<Shared>);

impl Waiter {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.lock().counts.waiting += 1;
        Self(Arc::clone(shared))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.lock().counts.waiting -= 1;
    }
}

/// Responds when there are writes after the requested revision, or at the timeout.
pub async fn watch(State(shared): State<Arc<Shared>>, Query(query): Query<WatchQuery>) -> Response {
    let _waiter = Waiter::new(&shared);
    let deadline = Instant::now() + Duration::from_millis(query.timeout_ms);
    loop {
        // Created before the read, so that a write between the read and the wait is not missed.
        let written = shared.written.notified();
        let (revision, page) = read_changes(&shared, &query);
        let Some(page) = page else {
            return (StatusCode::GONE, Json(Compacted { revision })).into_response();
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

fn read_changes(shared: &Shared, query: &WatchQuery) -> (u64, Option<Page>) {
    let state = shared.lock();
    let page = state.store.changes(&query.prefix, query.after);
    (state.store.revision(), page)
}
