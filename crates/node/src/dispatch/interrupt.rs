//! Waits for orders that interrupt a dispatch in progress.

use std::time::Duration;

use route::DispatchId;
use tokio::sync::mpsc;

use super::{Export, export};
use crate::actor::traffic::{Order, Target};
use crate::shared::Shared;

/// Pause before the export of a stream's KV cache is retried.
const EXPORT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the router cancels this stream (`None`), or its replica is leaving and has exported its KV
/// cache.
///
/// A stream that the engine has not started can't be exported yet, so the export is retried while the stream
/// continues.
pub async fn interrupted(
    shared: &Shared,
    orders: &mut mpsc::Receiver<Order>,
    target: &Target,
) -> Option<Export> {
    let mut leaving = false;
    loop {
        let order = tokio::select! {
            order = orders.recv() => order?,
            () = tokio::time::sleep(EXPORT_RETRY_INTERVAL), if leaving => Order::Leaving(target.dispatch),
        };
        match order {
            Order::Cancel(id) if id == target.dispatch => return None,
            Order::Leaving(id) if id == target.dispatch => {
                leaving = true;
                if let Some(export) = export::fetch(shared, target).await {
                    return Some(export);
                }
            }
            _other => {}
        }
    }
}

/// Waits until the router cancels this dispatch. Other orders are ignored.
pub async fn cancelled(orders: &mut mpsc::Receiver<Order>, dispatch: DispatchId) {
    loop {
        match orders.recv().await {
            Some(Order::Cancel(id)) if id == dispatch => return,
            Some(_other) => {}
            None => return,
        }
    }
}
