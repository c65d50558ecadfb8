//! Tests that the members actor requests catalogue texts by gossip.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use base::{Incarnation, Name, Seed};
use bytes::Bytes;
use clock::Clock;
use kameo::actor::{ActorRef, Spawn};
use member::frame::{Confirmed, Message};
use member::generation::{Digest, Head};
use member::item::{Body, Item};
use member::{Frame, Generation, Node};
use node::actor::members::{Arguments, Gossiped};
use node::actor::{Members, Rollouts, Traffic, rollouts, traffic};
use node::lifecycle::Lifecycle;
use node::serving::Serving;
use node::snapshot::Snapshot;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use wire::{Identity, Incoming, Transport};

/// Maximum time to wait for an expected frame.
const TIMEOUT: Duration = Duration::from_secs(10);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn node(incarnation: u64, peer: SocketAddr) -> Node {
    let name = Name::new(format!("node-{incarnation}"));
    let [zone, region] = ["zone", "region"].map(Name::from);
    Node {
        name,
        incarnation: Incarnation(incarnation),
        epoch: 1,
        peer,
        caller: peer,
        zone,
        region,
    }
}

fn spawn_members(own_node: Node, peers: Transport) -> ActorRef<Members> {
    let clock = Clock::new();
    let (vetoes, _found) = mpsc::channel(1);
    let (zone, incarnation) = (own_node.zone.clone(), own_node.incarnation);
    let traffic = Traffic::spawn(traffic::Arguments {
        seed: Seed(1),
        zone,
        clock,
        incarnation,
        vetoes,
    });
    let (_shared, shared) = watch::channel(None);
    let rollouts = Rollouts::spawn(rollouts::Arguments {
        incarnation,
        seed: Seed(2),
        clock,
        traffic: traffic.clone(),
        shared,
    });
    Members::spawn(Arguments {
        node: own_node,
        seeds: Vec::new(),
        seed: Seed(3),
        clock,
        peers,
        traffic,
        rollouts,
        snapshot: watch::channel(Arc::new(Snapshot::empty())).0,
        serving: watch::channel(Serving::syncing()).0,
        lifecycle: Lifecycle::new(),
        retained: None,
        queries: mpsc::channel(16).0,
    })
}

async fn send_gossip(members: &ActorRef<Members>, confirmed: Option<Confirmed>, message: Message) {
    let frame = Frame {
        from: Incarnation(2),
        confirmed,
        message,
    };
    members
        .tell(Gossiped(Bytes::from(wire::encode(&frame).unwrap())))
        .await
        .unwrap();
}

/// Guards against a generation whose text is never requested: a peer passes on the generation confirmed by
/// the platform, and its digest arrives only later. The text must still be requested while the platform is
/// down.
#[tokio::test]
async fn text_is_requested_when_its_digest_arrives_after_its_generation() {
    let bind = || Transport::bind(loopback(), &Identity::new("a secret of the test").unwrap()).unwrap();
    let (own_transport, _own_incoming) = bind();
    let (peer_transport, mut incoming) = bind();
    let members = spawn_members(node(1, own_transport.address().unwrap()), own_transport);
    let other = node(2, peer_transport.address().unwrap());
    let generation = Generation(1);
    let confirmed = Some(Confirmed { generation, age: 0 });
    send_gossip(&members, confirmed, Message::Join(other)).await;
    // Wait for a few ticks, so that the generation is known before its digest.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let digest = Digest::of(b"text");
    let body = Body::Head(Head { generation, digest });
    send_gossip(
        &members,
        None,
        Message::Push {
            items: vec![Item {
                body,
                age: 0,
                hops: 0,
            }],
            updates: Vec::new(),
        },
    )
    .await;
    let requested = async {
        loop {
            let Some(Incoming::Frame {
                frame: wire::Frame::Gossip(bytes),
                ..
            }) = incoming.recv().await
            else {
                continue;
            };
            let frame: Frame = wire::decode(&bytes).unwrap();
            if frame.message == Message::Want(digest) {
                return;
            }
        }
    };
    timeout(TIMEOUT, requested)
        .await
        .expect("the text is requested in time");
}
