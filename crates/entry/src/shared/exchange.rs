//! State of the calls between nodes.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};

use base::Incarnation;
use tokio::time::sleep;

use super::{Shared, lock};
use crate::exchange::Questions;
use crate::publish::{Collector, Summary};

impl Shared {
    /// Questions of other nodes.
    pub fn questions(&self) -> MutexGuard<'_, Questions> {
        lock(&self.questions)
    }

    /// Whether other nodes read the store through this one.
    pub fn is_asked(&self) -> bool {
        self.questions().is_asked(self.now())
    }

    /// Notes the node through which this one reads the store; `None` if it reads it itself.
    pub fn set_followed(&self, node: Option<Incarnation>) {
        *lock(&self.followed) = node;
    }

    /// Address of the node through which this one reads the store; `None` if it reads it itself.
    pub fn followed_peer(&self) -> Option<SocketAddr> {
        let node = (*lock(&self.followed))?;
        self.view().peers.get(&node).map(|peer| peer.peer_address)
    }

    /// Reports that wait to be written.
    pub fn collector(&self) -> MutexGuard<'_, Collector> {
        lock(&self.collector)
    }

    /// Takes reports of another node.
    pub fn collect_reports(&self, summary: &Summary) {
        let now = self.now();
        {
            let mut collector = self.collector();
            for (node, report) in &summary.reports {
                collector.insert(now, *node, Arc::clone(report));
            }
        }
        self.reports_arrived.notify_one();
    }

    /// Waits until collected reports are to be written.
    pub async fn collected(&self) {
        loop {
            let due_at = self.collector().due_at();
            match due_at {
                Some(at) if at <= self.now() => return,
                Some(at) => sleep(at.since(self.now()).as_duration()).await,
                None => self.reports_arrived.notified().await,
            }
        }
    }
}
