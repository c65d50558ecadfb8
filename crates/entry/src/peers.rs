//! Datagrams between nodes. They carry the tokens that a node admitted against the workspaces' limits, its requests at
//! each replica, the replicas that it cannot reach, and how long the store has answered it.
//!
//! These values change several times per second, which is too often for the store. All of them are totals or current
//! values, so the next datagram makes up for a lost one. They only affect how well limits and replicas are used.
//!
//! In a large cluster, nodes send them to the nodes of their availability zone only, and the zones' hubs exchange sums.

mod datagram;
mod heard;
mod hub;
mod invalid;
mod lost;
mod paces;
mod topology;

use std::net::SocketAddr;
use std::sync::Arc;

use base::Millis;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::lifecycle::Phase;
use crate::{Error, Shared};

pub use datagram::{CutOff, Datagram, MAX_DATAGRAM_BYTES, Scope, Unreachable};
pub use heard::HeardNodes;
pub use hub::{Hub, Use};
pub use invalid::Invalid;
pub use lost::LostNodes;
pub use paces::Paces;
pub use topology::Topology;

/// Minimum interval between datagrams to the same node.
pub(crate) const SEND_INTERVAL: Millis = Millis(50);
/// Maximum number of datagrams per second that a node sends to all others combined. With more nodes, each receives
/// datagrams less often.
pub(crate) const MAX_PER_SECOND: u32 = 200;
/// Maximum interval between datagrams, so that the other nodes know that the values are unchanged.
const KEEPALIVE_INTERVAL: Millis = Millis(300);
/// Interval between the sums that a hub sends.
pub(crate) const DIGEST_INTERVAL: Millis = Millis(200);
/// Interval between reports of the replicas' speed, which keeps them below 1 KB/s in a zone of 20 nodes.
const PACE_INTERVAL: Millis = Millis(2_000);
/// Time without a datagram after which a node counts as disconnected.
pub const PEER_TIMEOUT: Millis = Millis(1_000);

/// Binds the port and exchanges datagrams until the node stops.
pub async fn start(shared: &Arc<Shared>, address: SocketAddr) -> Result<(), Error> {
    let socket = UdpSocket::bind(address).await;
    let socket = Arc::new(socket.map_err(|cause| Error::Listen { address, cause })?);
    tokio::spawn(receive(Arc::clone(shared), Arc::clone(&socket)));
    tokio::spawn(send_digests(Arc::clone(shared), Arc::clone(&socket)));
    tokio::spawn(send(Arc::clone(shared), socket));
    Ok(())
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut invalid = Invalid::default();
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = shared.lifecycle.reached(Phase::Ended) => return,
        };
        match received {
            Ok((length, sender)) => match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    shared.record_sender(&datagram, sender);
                    shared.apply_datagram(&datagram);
                }
                Err(error) => {
                    metrics::counter!("bilberrylatch_invalid_datagrams_total").increment(1);
                    if let Some(datagrams) = invalid.record(shared.now(), sender) {
                        let node = name_of(&shared, sender);
                        log::warn!(node, sender:% = sender, datagrams, cause:% = error; "invalid datagram from a node");
                    }
                }
            },
            // An earlier datagram reached a closed port, since a node is restarting.
            Err(error) => log::debug!(cause:% = error; "failed to receive a datagram"),
        }
    }
}

/// Name of the node that sends datagrams from an address; empty if it is not registered.
fn name_of(shared: &Shared, sender: SocketAddr) -> String {
    let view = shared.view();
    let peer = view.peers.values().find(|peer| peer.peer_address == sender);
    peer.map_or_else(String::new, |peer| peer.name.clone())
}

async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut last = Datagram::default();
    let mut sent = Millis::ZERO;
    let mut told = Millis::ZERO;
    let mut number = 0;
    loop {
        let mut receivers = shared.update_topology().direct.clone();
        receivers.extend(shared.unregistered_nodes());
        shared.update_groups();
        tokio::select! {
            () = sleep(topology::send_interval(receivers.len()).as_duration()) => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        let mut datagram = shared.datagram();
        let now = shared.now();
        if now.since(told) >= PACE_INTERVAL {
            told = now;
            datagram.paces = shared.take_paces();
        }
        if now.since(sent) < KEEPALIVE_INTERVAL && datagram.is_same(&last) {
            continue;
        }
        number += 1;
        last.clone_from(&datagram);
        sent = now;
        datagram.number = number;
        transmit(&socket, &mut datagram, &receivers).await;
    }
}

/// Sends the sums of zones while this node is the hub of its zone.
async fn send_digests(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut number = 0;
    loop {
        tokio::select! {
            () = sleep(DIGEST_INTERVAL.as_duration()) => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        let topology = shared.topology();
        if !topology.is_hub {
            continue;
        }
        number += 1;
        let [mut zone, mut outside] = shared.digests(&topology);
        zone.number = number;
        outside.number = number;
        let mut hubs = topology.other_hubs.clone();
        hubs.extend(shared.unregistered_hubs());
        transmit(&socket, &mut zone, &hubs).await;
        let mut receivers = topology.direct.clone();
        receivers.extend(shared.unregistered_nodes());
        transmit(&socket, &mut outside, &receivers).await;
    }
}

async fn transmit(socket: &UdpSocket, datagram: &mut Datagram, peers: &[SocketAddr]) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(cause:% = error; "failed to encode a datagram");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, cause:% = error; "failed to send a datagram");
        }
    }
}
