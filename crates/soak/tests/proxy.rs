//! The proxy passes bytes on, and troubles them as it is told.

use std::time::Duration;

use soak::proxy::{Proxy, Trouble};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time in which nothing must come.
const SILENCE: Duration = Duration::from_millis(150);
/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(10);

/// A listener that sends back what it gets.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
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

async fn round(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

#[tokio::test]
async fn trouble_holds_bytes_until_it_ends() {
    for trouble in [Trouble::Silent, Trouble::CutThere, Trouble::CutBack] {
        let proxy = Proxy::start(echo().await).await.expect("a proxy");
        let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
        assert_eq!(round(&mut stream).await.expect("an echo"), b'x');
        proxy.set(trouble);
        let held = timeout(SILENCE, round(&mut stream)).await;
        assert!(held.is_err(), "{trouble:?}: {held:?}");
        proxy.set(Trouble::None);
        let echoed = timeout(PATIENCE, stream.read_u8()).await.expect("in time");
        assert_eq!(echoed.expect("an echo"), b'x', "{trouble:?}");
    }
}

#[tokio::test]
async fn reset_breaks_open_and_new_connections() {
    let proxy = Proxy::start(echo().await).await.expect("a proxy");
    let mut open = TcpStream::connect(proxy.address).await.expect("a connection");
    assert_eq!(round(&mut open).await.expect("an echo"), b'x');
    proxy.set(Trouble::Reset);
    let broken = timeout(PATIENCE, open.read_u8()).await.expect("in time");
    assert!(broken.is_err());
    let mut new = TcpStream::connect(proxy.address).await.expect("a connection");
    let broken = timeout(PATIENCE, round(&mut new)).await.expect("in time");
    assert!(broken.is_err());
}
