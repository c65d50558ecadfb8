//! Keeps a node running: an incarnation that may have been declared gone is followed by the next.

use clock::Clock;

use crate::error::Error;
use crate::node::Node;
use crate::settings::Settings;

/// Runs `node` and its later incarnations until `stopped` ends or the node is asked to stop, then stops gracefully.
///
/// `settings` hold the addresses that the first incarnation was bound to, so that later ones keep them. `started`
/// is told of each later incarnation.
pub async fn supervise<S, N>(
    mut node: Node,
    settings: Settings,
    clock: Clock,
    stopped: S,
    started: N,
) -> Result<(), Error>
where
    S: Future<Output = ()>,
    N: Fn(&Node),
{
    let mut stopped = std::pin::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => break,
            () = node.stop_requested() => break,
            () = node.fenced() => {}
        }
        log::warn!(
            "node {} may have been declared gone; its next incarnation starts",
            settings.name
        );
        let predecessor = node.retire().await;
        node = Node::start_with(settings.clone(), clock, Some(predecessor)).await?;
        started(&node);
    }
    node.stop().await;
    Ok(())
}
