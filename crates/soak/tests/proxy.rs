//! Tests that the proxy relays bytes and applies impairments.

use std::time::Duration;

use soak::proxy::{Impairment, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time within which no byte may arrive.
const BLOCKED_WAIT: Duration = Duration::from_millis(150);
/// Longest wait for an expected byte or error.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a listener that echoes what it receives.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds a port");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _from)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    address
}

async fn round_trip(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

#[tokio::test]
async fn impairment_blocks_bytes_until_cleared() {
    for impairment in [Impairment::Silent, Impairment::CutThere, Impairment::CutBack] {
        let proxy = Proxy::start(echo().await).await.expect("proxy starts");
        let mut stream = TcpStream::connect(proxy.address)
            .await
            .expect("proxy accepts a connection");
        assert_eq!(round_trip(&mut stream).await.expect("byte is echoed"), b'x');
        proxy.set(impairment);
        let blocked = timeout(BLOCKED_WAIT, round_trip(&mut stream)).await;
        assert!(blocked.is_err(), "{impairment:?}: {blocked:?}");
        proxy.set(Impairment::None);
        let echoed = timeout(TIMEOUT, stream.read_u8())
            .await
            .expect("ends before the timeout");
        assert_eq!(echoed.expect("byte is echoed"), b'x', "{impairment:?}");
    }
}

#[tokio::test]
async fn reset_breaks_open_and_new_connections() {
    let proxy = Proxy::start(echo().await).await.expect("proxy starts");
    let mut open = TcpStream::connect(proxy.address)
        .await
        .expect("proxy accepts a connection");
    assert_eq!(round_trip(&mut open).await.expect("byte is echoed"), b'x');
    proxy.set(Impairment::Reset);
    let broken = timeout(TIMEOUT, open.read_u8())
        .await
        .expect("ends before the timeout");
    assert!(broken.is_err());
    let mut new = TcpStream::connect(proxy.address)
        .await
        .expect("proxy accepts a connection");
    let broken = timeout(TIMEOUT, round_trip(&mut new))
        .await
        .expect("ends before the timeout");
    assert!(broken.is_err());
}

/// A reset by the target arrives as a reset, whether or not the proxy has bytes under way: an end would look complete.
#[tokio::test]
async fn reset_of_the_target_is_no_end() {
    for length in [0, 1, 5_000] {
        for _round in 0..20 {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .expect("listener binds a port");
            let target = listener.local_addr().expect("listener has an address");
            let proxy = Proxy::start(target).await.expect("proxy starts");
            let mut caller = TcpStream::connect(proxy.address)
                .await
                .expect("proxy accepts a connection");
            let (mut stream, _from) = listener.accept().await.expect("proxy connects");
            stream
                .write_all(&vec![b'x'; length])
                .await
                .expect("bytes are taken");
            tokio::task::yield_now().await;
            socket2::SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("linger is set");
            drop(stream);
            let mut bytes = Vec::new();
            let ended = timeout(TIMEOUT, caller.read_to_end(&mut bytes))
                .await
                .expect("ends before the timeout");
            assert!(ended.is_err(), "{length} bytes: {ended:?}");
        }
    }
}
