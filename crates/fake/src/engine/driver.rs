//! Task that advances the engine model in real time.

use std::sync::Arc;

use super::shared::Shared;

/// Finishes iterations as they become due, until the task is aborted.
pub async fn drive(shared: Arc<Shared>) {
    loop {
        shared.injector.wait_until_unfrozen().await;
        let next_due = shared.advance();
        let submitted = shared.submitted.notified();
        match next_due {
            Some(due) => tokio::time::sleep_until(shared.clock.instant(due)).await,
            None => submitted.await,
        }
    }
}
