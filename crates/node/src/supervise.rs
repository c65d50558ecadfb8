//! Keeps a node running: an incarnation that may have been declared gone is followed by the next.

use clock::Clock;

use crate::error::Error;
use crate::node::Node;
use crate::settings::Settings;

/// Runs `node` and its later incarnations until `stop_signal` ends or the node is asked to stop, then stops gracefully.
///
/// `settings` hold the addresses that the first incarnation was bound to, so that later ones keep them. `on_start`
/// is told of each later incarnation.
pub async fn supervise<S, N>(
    mut node: Node,
    settings: Settings,
    clock: Clock,
    stop_signal: S,
    on_start: N,
) -> Result<(), Error>
where
    S: Future<Output = ()>,
    N: Fn(&Node),
{
    let mut stop_signal = std::pin::pin!(stop_signal);
    loop {
        tokio::select! {
            () = &mut stop_signal => break,
            () = node.stop_requested() => break,
            () = node.fenced() => {}
        }
        log::warn!(
            "node {} may have been declared gone; its next incarnation starts",
            settings.name
        );
        let predecessor = node.retire().await;
        node = Node::start_with(settings.clone(), clock, Some(predecessor)).await?;
        on_start(&node);
    }
    node.stop().await;
    Ok(())
}
