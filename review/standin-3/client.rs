//! Clients.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Longest time that a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(10);

/// A kept connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let reader = BufReader::with_capacity(1 << 16, stream.try_clone()?);
        Ok(Self { reader, stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads an answer; `None` if the connection was closed before it.
    pub fn receive(&mut self) -> std::io::Result<Option<Message>> {
        http::read(&mut self.reader)
    }
}

/// A request without a body, or with one of this many bytes.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: usize) -> String {
    let length = if body > 0 {
        format!("Content-Length: {body}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nCredential: key-1\r\n{length}\r\n{}",
        "b".repeat(body)
    )
}

/// Waits until the node says that it is ready.
pub fn wait_until_ready(ready: SocketAddr, limit: Duration) -> Result<(), String> {
    let began = Instant::now();
    while began.elapsed() < limit {
        let answer = Connection::open(ready).and_then(|mut connection| {
            connection.send(b"GET /bilberrylatch/readiness HTTP/1.1\r\nHost: x\r\n\r\n")?;
            connection.receive()
        });
        if matches!(answer, Ok(Some(message)) if message.status() == 200) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the node does not become ready".to_owned())
}
