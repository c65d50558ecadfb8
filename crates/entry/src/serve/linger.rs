//! Closes a connection so that its client sees the last response.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time for which bytes are read that nobody wants. Clients notice the response within a round trip.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer that the bytes are read into.
const BUFFER_BYTES: usize = 8 * 1024;

/// Ends the response, and then discards up to `unread` bytes that the client still sends. Closing a connection with unread
/// bytes resets it, and the client could lose the response.
pub(super) async fn linger(mut stream: TcpStream, unread: usize) {
    if stream.shutdown().await.is_err() || unread == 0 {
        return;
    }
    let discard = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut left = unread;
        while left > 0 {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(length) => left = left.saturating_sub(length),
            }
        }
    };
    // The connection is closed in either case.
    let _elapsed = timeout(LINGER_TIMEOUT, discard).await;
}
