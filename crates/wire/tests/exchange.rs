//! Peers exchange frames only if they share the same secret; a restarted transport keeps its address; malformed frames
//! are rejected.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use wire::{Error, Frame, Identity, Incoming, Transport};

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

#[tokio::test]
async fn peers_with_the_same_secret_exchange_frames() {
    let (server, mut incoming) = Transport::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let (client, _client_incoming) = Transport::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let address = server.address().unwrap();
    let gossip = Frame::Gossip(Bytes::from_static(b"hello"));

    client.send(address, &gossip).await.unwrap();
    let Some(Incoming::Frame { frame, .. }) = incoming.recv().await else {
        panic!("no frame received")
    };
    assert_eq!(frame, gossip);

    let mut channel = client.open(address).await.unwrap();
    channel
        .send(&Frame::Handover(Bytes::from_static(b"keys")))
        .await
        .unwrap();
    let Some(Incoming::Channel {
        channel: mut accepted,
        ..
    }) = incoming.recv().await
    else {
        panic!("no channel received")
    };
    assert_eq!(
        accepted.receive().await.unwrap(),
        Frame::Handover(Bytes::from_static(b"keys"))
    );
    accepted.send(&Frame::Accepted).await.unwrap();
    assert_eq!(channel.receive().await.unwrap(), Frame::Accepted);
}

#[tokio::test]
async fn peer_with_another_secret_is_rejected() {
    let (server, mut incoming) = Transport::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let (client, _client_incoming) = Transport::bind(loopback(), &Identity::new("guess").unwrap()).unwrap();
    let result = client.send(server.address().unwrap(), &Frame::End).await;
    assert!(matches!(result, Err(Error::Unreachable(_))), "{result:?}");
    assert!(incoming.try_recv().is_err());
}

#[tokio::test]
async fn restarted_transport_keeps_its_address() {
    let bind = || Transport::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let (transport, mut incoming) = bind();
    let (client, _client_incoming) = bind();
    let address = transport.address().unwrap();
    client.send(address, &Frame::End).await.unwrap();
    assert!(incoming.recv().await.is_some());

    let (restarted, mut incoming) = transport.restart();
    assert_eq!(restarted.address().unwrap(), address);
    let refused = transport.send(client.address().unwrap(), &Frame::End).await;
    assert!(matches!(refused, Err(Error::Unreachable(_))), "{refused:?}");
    // The client learns of the closed connection only from a packet, so its first sends may still use the old one.
    let received = async {
        loop {
            let _closed = client.send(address, &Frame::End).await;
            tokio::select! {
                frame = incoming.recv() => break frame,
                () = tokio::time::sleep(Duration::from_millis(20)) => {}
            }
        }
    };
    let frame = tokio::time::timeout(Duration::from_secs(10), received)
        .await
        .expect("no frame received after the restart");
    assert!(matches!(
        frame,
        Some(Incoming::Frame {
            frame: Frame::End,
            ..
        })
    ));
}

struct Case {
    bytes: &'static [u8],
    accepted: bool,
}

const CASES: [Case; 4] = [
    Case {
        bytes: &[],
        accepted: false,
    },
    Case {
        bytes: &[5],
        accepted: true,
    },
    Case {
        bytes: &[5, 0],
        accepted: false,
    },
    Case {
        bytes: &[99],
        accepted: false,
    },
];

#[test]
fn malformed_frames_are_rejected() {
    for case in CASES {
        assert_eq!(
            Frame::decode(case.bytes).is_ok(),
            case.accepted,
            "{:?}",
            case.bytes
        );
    }
}
