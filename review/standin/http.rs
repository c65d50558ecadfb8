//! HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was seen to be complete.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection and the bytes that were read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16_384];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length > 0)
    }

    /// Reads the head of a message; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(position) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break position;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, body: Vec::new(), whole: false }))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(position) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..position]).into_owned();
                self.buffer.drain(..position + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if !self.fill()? {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(true)
    }

    /// Reads a whole message; one whose body breaks off is not whole.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        let is_chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        let is_answer = message.start.starts_with("HTTP/");
        let mut body = Vec::new();
        let ended = if is_chunked {
            self.chunks(&mut body)
        } else if let Some(length) = length {
            self.take(length, &mut body)
        } else if is_answer {
            self.rest(&mut body)
        } else {
            Ok(true)
        };
        message.whole = ended.unwrap_or(false);
        message.body = body;
        Ok(Some(message))
    }

    fn rest(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.fill()? {}
        body.append(&mut self.buffer);
        Ok(true)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let Ok(length) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
                return Ok(false);
            };
            if length == 0 {
                return Ok(self.line()?.is_some());
            }
            if !self.take(length, body)? || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether bytes of another message have arrived.
    pub fn has_more(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let mut piece = [0];
        self.stream.peek(&mut piece).is_ok_and(|length| length > 0)
    }
}

/// An answer with a length.
pub fn answer(status: u16, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\n{lines}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves connections, each in a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Connection) + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}
