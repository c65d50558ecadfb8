//! What one node at a time does for all.

use std::sync::Arc;

use tokio::sync::watch;

use crate::Shared;
use crate::register::Held;

/// Takes up the duties whenever this node holds their role.
pub async fn run(_shared: Arc<Shared>, mut holds: watch::Receiver<Option<Held>>) {
    while holds.changed().await.is_ok() {}
}
