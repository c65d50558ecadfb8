//! Supervises a node: an incarnation that may have been declared gone is replaced by a new one.

use clock::Clock;

use crate::error::Error;
use crate::node::Node;
use crate::settings::Settings;

/// Runs `node` and its later incarnations until `stop_signal` completes or the node starts to drain, then
/// stops gracefully.
///
/// `settings` must hold the addresses to which the first incarnation is bound, so that later ones keep them.
/// `on_start` is called with each later incarnation.
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
            "node {} may have been declared gone; starting its next incarnation",
            settings.name
        );
        let predecessor = node.retire().await;
        node = Node::start_with(settings.clone(), clock, Some(predecessor)).await?;
        on_start(&node);
    }
    node.stop().await;
    Ok(())
}
