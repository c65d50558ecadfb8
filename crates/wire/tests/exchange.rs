//! Frames cross between two endpoints with the same secret, and not with another.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use wire::{Endpoint, Error, Frame, Identity, Incoming};

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

#[tokio::test]
async fn frame_and_exchange_with_the_same_secret() {
    let (server, mut incoming) = Endpoint::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let (client, _rest) = Endpoint::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let address = server.address().unwrap();
    let gossip = Frame::Gossip(Bytes::from_static(b"hello"));

    client.send(address, &gossip).await.unwrap();
    let Some(Incoming::Frame { frame, .. }) = incoming.recv().await else {
        panic!("no frame")
    };
    assert_eq!(frame, gossip);

    let mut channel = client.open(address).await.unwrap();
    channel
        .send(&Frame::Handover(Bytes::from_static(b"keys")))
        .await
        .unwrap();
    let Some(Incoming::Channel {
        channel: mut answer, ..
    }) = incoming.recv().await
    else {
        panic!("no channel")
    };
    assert_eq!(
        answer.receive().await.unwrap(),
        Frame::Handover(Bytes::from_static(b"keys"))
    );
    answer.send(&Frame::Accepted).await.unwrap();
    assert_eq!(channel.receive().await.unwrap(), Frame::Accepted);
}

#[tokio::test]
async fn another_secret_is_turned_away() {
    let (server, mut incoming) = Endpoint::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let (client, _rest) = Endpoint::bind(loopback(), &Identity::new("guess").unwrap()).unwrap();
    let sent = client.send(server.address().unwrap(), &Frame::End).await;
    assert!(matches!(sent, Err(Error::Unreachable(_))), "{sent:?}");
    assert!(incoming.try_recv().is_err());
}

#[tokio::test]
async fn successor_goes_on_at_the_same_address() {
    let bind = || Endpoint::bind(loopback(), &Identity::new("secret").unwrap()).unwrap();
    let (first, mut incoming) = bind();
    let (client, _rest) = bind();
    let address = first.address().unwrap();
    client.send(address, &Frame::End).await.unwrap();
    assert!(incoming.recv().await.is_some());

    let (second, mut incoming) = first.succeed();
    assert_eq!(second.address().unwrap(), address);
    let ended = first.send(client.address().unwrap(), &Frame::End).await;
    assert!(matches!(ended, Err(Error::Unreachable(_))), "{ended:?}");
    // The client learns by a frame that its connection is closed, so that a first send may still go to it.
    let reached = async {
        loop {
            let _closed = client.send(address, &Frame::End).await;
            tokio::select! {
                frame = incoming.recv() => break frame,
                () = tokio::time::sleep(Duration::from_millis(20)) => {}
            }
        }
    };
    let frame = tokio::time::timeout(Duration::from_secs(10), reached)
        .await
        .expect("a frame");
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
fn malformed_frames_are_refused() {
    for case in CASES {
        assert_eq!(
            Frame::decode(case.bytes).is_ok(),
            case.accepted,
            "{:?}",
            case.bytes
        );
    }
}
