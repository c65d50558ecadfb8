//! Drives the model along the clock.

use std::sync::Arc;

use super::shared::Shared;

/// Ends iterations when they are due, for as long as the task lives.
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
