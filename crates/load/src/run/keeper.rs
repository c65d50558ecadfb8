//! Keeps a node running as the daemon does: an incarnation that may have been declared gone is followed by the next.

use std::net::SocketAddr;

use clock::Clock;
use node::{Error, Node, Settings};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A node and its later incarnations.
#[derive(Debug)]
pub struct Keeper {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Keeper {
    /// Starts the first incarnation.
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

    /// Stops gracefully.
    pub async fn stop(self) {
        // A node that has stopped by itself hears nothing.
        let _stopped = self.stop.send(());
        let _ended = self.task.await;
    }
}

async fn run(node: Node, settings: Settings, clock: Clock, stopped: oneshot::Receiver<()>) {
    let name = settings.name.clone();
    let stopped = async move {
        // A keeper that is dropped stops its node, too.
        let _dropped = stopped.await;
    };
    if let Err(error) = node::supervise(node, settings, clock, stopped, |_next| ()).await {
        log::error!("node {name} did not start again: {error}");
    }
}
