//! Hands over a stopping node's idempotency keys to a peer.

use std::net::SocketAddr;
use std::time::Duration;

use base::Incarnation;
use bytes::Bytes;
use claim::Handover;
use indexmap::IndexSet;
use member::node::State;
use tokio::time::{sleep, timeout};
use wire::Frame;

use crate::actor::claims::Export;
use crate::actor::members::{Nodes, Publish};
use crate::actor::rollouts::Announcement;
use crate::platform::rollout::wall_time;
use crate::shared::Shared;

/// Approximate size of a piece, in bytes.
const PIECE_BYTES: usize = 512 * 1024;

/// Timeout for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for gossip to send the announcement with its next ticks.
const ANNOUNCE_TIME: Duration = Duration::from_millis(400);

/// Maximum number of peers to try.
const MAX_ATTEMPTS: usize = 3;

/// A peer that may take over the keys.
#[derive(Clone, Copy, Debug)]
struct Successor {
    node: Incarnation,
    address: SocketAddr,
}

/// Hands over all keys to the first peer that accepts them, and announces it to all nodes.
pub async fn run(shared: &Shared) {
    let export = Export {
        piece_bytes: PIECE_BYTES,
        fenced: shared.lifecycle.is_fenced(),
    };
    let Ok(pieces) = shared.claims.ask(export).await else {
        return;
    };
    for successor in successors(shared).await {
        match send_pieces(shared, successor, &pieces).await {
            Ok(()) => {
                announce(shared, successor, &pieces).await;
                return;
            }
            Err(error) => log::warn!("keys not handed over to {}: {error}", successor.address),
        }
    }
    log::warn!("no peer took over the keys: repeated requests will get the outcome 'unknown'");
}

/// Live peers, those in other zones first, because this node's whole zone may be getting reclaimed.
async fn successors(shared: &Shared) -> Vec<Successor> {
    let Ok(mut nodes) = shared.members.ask(Nodes).await else {
        return Vec::new();
    };
    nodes.retain(|node| node.state == State::Alive && node.incarnation != shared.incarnation);
    nodes.sort_by_key(|node| node.zone == shared.settings.zone);
    let successor = |node: &crate::actor::members::NodeView| Successor {
        node: node.incarnation,
        address: node.peer,
    };
    nodes.iter().take(MAX_ATTEMPTS).map(successor).collect()
}

async fn send_pieces(shared: &Shared, successor: Successor, pieces: &[Handover]) -> Result<(), wire::Error> {
    for piece in pieces {
        let bytes = Bytes::from(wire::encode(piece)?);
        let sent = timeout(PIECE_TIMEOUT, send_piece(shared, successor, bytes)).await;
        sent.unwrap_or_else(|_elapsed| Err(wire::Error::ConnectionLost("no answer in time".to_owned())))?;
    }
    Ok(())
}

async fn send_piece(shared: &Shared, successor: Successor, piece: Bytes) -> Result<(), wire::Error> {
    let mut channel = shared.peers.open(successor.address).await?;
    channel.send(&Frame::Handover(piece)).await?;
    channel.finish()?;
    match channel.receive().await? {
        Frame::Accepted => Ok(()),
        _other => Err(wire::Error::Malformed("expected an acceptance".to_owned())),
    }
}

async fn announce(shared: &Shared, successor: Successor, pieces: &[Handover]) {
    const MILLIS_PER_SECOND: u64 = 1000;
    let homes: IndexSet<Incarnation> = pieces.iter().map(|piece| piece.home).collect();
    for home in homes {
        let announcement = Announcement::Successor {
            home,
            successor: successor.node,
        };
        let Ok(bytes) = wire::encode(&announcement) else {
            continue;
        };
        let version = announcement.version(wall_time().0 / MILLIS_PER_SECOND);
        let message = Publish {
            id: announcement.id(),
            version,
            report: Bytes::from(bytes),
        };
        let _gone = shared.members.tell(message).await;
    }
    sleep(ANNOUNCE_TIME).await;
}
