//! Runs a node as the daemon does: an incarnation that may have been declared gone is replaced by the next one.

use std::net::SocketAddr;

use clock::Clock;
use node::{Error, Node, Settings};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A supervised node with all its incarnations.
#[derive(Debug)]
pub struct Supervisor {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Supervisor {
    /// Starts the first incarnation and keeps its addresses for later ones.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let clock = Clock::new();
        let node = Node::start_with(settings.clone(), clock, None).await?;
        let [address, peer_address] = [node.address(), node.peer_address()];
        let settings = Settings {
            listen: address,
            peer_listen: peer_address,
            ..settings
        };
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(run(node, settings, clock, stopped));
        Ok(Self {
            address,
            peer_address,
            stop,
            task,
        })
    }

    /// Stops the node gracefully.
    pub async fn stop(self) {
        // Sending fails if the node has already stopped by itself.
        let _stopped = self.stop.send(());
        let _ended = self.task.await;
    }
}

async fn run(node: Node, settings: Settings, clock: Clock, stopped: oneshot::Receiver<()>) {
    let name = settings.name.clone();
    let stopped = async move {
        // Dropping the supervisor also stops its node.
        let _dropped = stopped.await;
    };
    if let Err(error) = node::supervise(node, settings, clock, stopped, |_next| ()).await {
        log::error!("node {name} failed to restart: {error}");
    }
}
