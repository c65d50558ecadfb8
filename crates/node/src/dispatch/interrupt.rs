//! Orders that interrupt a dispatch under way.

use std::time::Duration;

use route::DispatchId;
use tokio::sync::mpsc;

use super::{Export, export};
use crate::actor::traffic::{Order, Target};
use crate::shared::Shared;

/// Pause before a leaving replica is asked again for a stream's KV cache.
const EXPORT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the router gives this stream up, or its replica leaves and has given its KV cache along.
///
/// A stream that the engine has not begun can't be exported yet, so a leaving replica is asked again and again; the
/// stream goes on there meanwhile.
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

/// Waits until the router gives this dispatch up. Other orders can't come while it runs.
pub async fn cancelled(orders: &mut mpsc::Receiver<Order>, dispatch: DispatchId) {
    loop {
        match orders.recv().await {
            Some(Order::Cancel(id)) if id == dispatch => return,
            Some(_other) => {}
            None => return,
        }
    }
}
