//! Datagrams between nodes. They carry the tokens that a node admitted against the workspaces' limits, its requests at
//! each replica, and the replicas that it cannot reach.
//!
//! These values change several times per second, which is too often for the store. All of them are totals or current
//! values, so the next datagram makes up for a lost one. They only affect how well limits and replicas are used.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use place::PeerLoad;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::lifecycle::Phase;
use crate::{Error, Shared};

/// Minimum interval between datagrams to the same node.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of datagrams per second that a node sends to all others combined. With more nodes, each receives
/// datagrams less often.
const MAX_PER_SECOND: u32 = 200;
/// Maximum interval between datagrams while there is something to report, so that the other nodes know that the values
/// are unchanged.
const KEEPALIVE_INTERVAL: Millis = Millis(300);
/// Maximum datagram size, below the smallest MTU of the networks between nodes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Time without a datagram after which a node counts as disconnected.
pub const PEER_TIMEOUT: Millis = Millis(1_000);

/// A datagram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Incarnation of the sender.
    pub from: u64,
    /// Sequence number. Older datagrams that arrive late are dropped.
    pub number: u64,
    /// Tokens admitted since the sender started, by workspace.
    pub used: Vec<(Arc<str>, u64)>,
    /// The sender's requests in flight at each replica, by endpoint.
    pub loads: Vec<(Arc<str>, Vec<PeerLoad>)>,
    /// Hashes of the ids of the replicas that the sender cannot reach, by endpoint.
    pub unreachable: Vec<(Arc<str>, Vec<u64>)>,
}

/// Binds the port and exchanges datagrams until the node stops.
pub async fn start(shared: &Arc<Shared>, address: SocketAddr) -> Result<(), Error> {
    let socket = UdpSocket::bind(address).await;
    let socket = Arc::new(socket.map_err(|cause| Error::Listen { address, cause })?);
    tokio::spawn(receive(Arc::clone(shared), Arc::clone(&socket)));
    tokio::spawn(send(Arc::clone(shared), socket));
    Ok(())
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = shared.lifecycle.reached(Phase::Ended) => return,
        };
        match received {
            Ok((length, _sender)) => match postcard::from_bytes::<Datagram>(&buffer[..length]) {
                Ok(datagram) => shared.apply_datagram(&datagram),
                Err(error) => log::warn!(cause:% = error; "invalid datagram from a node"),
            },
            // An earlier datagram reached a closed port, since a node is restarting.
            Err(error) => log::debug!(cause:% = error; "failed to receive a datagram"),
        }
    }
}

async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut last = Datagram::default();
    let mut sent = Millis::ZERO;
    let mut number = 0;
    loop {
        let peers = shared.peer_addresses();
        let interval = SEND_INTERVAL.max(Duration::from_secs(1) * peers.len() as u32 / MAX_PER_SECOND);
        tokio::select! {
            () = sleep(interval) => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        let mut datagram = shared.datagram();
        let now = shared.now();
        let is_due = now.since(sent) >= KEEPALIVE_INTERVAL
            && !(datagram.used.is_empty() && datagram.unreachable.is_empty());
        if !is_due
            && datagram.used == last.used
            && datagram.loads == last.loads
            && datagram.unreachable == last.unreachable
        {
            continue;
        }
        number += 1;
        last.clone_from(&datagram);
        sent = now;
        datagram.number = number;
        transmit(&socket, &mut datagram, &peers).await;
    }
}

async fn transmit(socket: &UdpSocket, datagram: &mut Datagram, peers: &[SocketAddr]) {
    let mut bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(cause:% = error; "failed to encode a datagram");
            return;
        }
    };
    if bytes.len() > MAX_DATAGRAM_BYTES {
        // The limits take precedence over the loads.
        datagram.loads.clear();
        bytes = postcard::to_stdvec(datagram).unwrap_or_default();
        metrics::counter!("bilberrylatch_peer_loads_left_out_total").increment(1);
    }
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, cause:% = error; "failed to send a datagram");
        }
    }
}
