//! HTTP/1.1 over blocking sockets: what the stand-ins need of it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path of a request, without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }

    /// A parameter of the query, decoded as a form is.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().splitn(3, ' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next piece of a chunked body; empty at its end.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut piece = vec![0; size + 2];
    reader.read_exact(&mut piece)?;
    piece.truncate(size);
    Ok(piece)
}

/// Reads a body by its length or its chunks; without either, a response ends with the connection.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message, is_response: bool) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let piece = read_chunk(reader)?;
            if piece.is_empty() {
                return Ok(());
            }
            message.body.extend_from_slice(&piece);
        }
    }
    match message.header("content-length").and_then(|it| it.parse().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if is_response => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// With a whole response.
    Answered(Message),
    /// Without one.
    Broken(String),
}

/// Makes a call on a connection of its own and reads the whole response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Ended {
    let attempt = || -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        let ends = Instant::now() + limit;
        let mut reader = BufReader::new(stream);
        loop {
            let Some(mut message) = read_head(&mut reader)? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if message.status() >= 200 {
                read_body(&mut reader, &mut message, true)?;
                return Ok(message);
            }
            if Instant::now() > ends {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    };
    match attempt() {
        Ok(message) => Ended::Answered(message),
        Err(error) => Ended::Broken(error.to_string()),
    }
}
