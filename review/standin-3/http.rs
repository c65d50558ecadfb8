//! HTTP/1.1 messages with a length.

use std::io::{self, BufRead};

/// The head and the body of a request or a response.
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lowercase, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ended before it.
pub fn read<R>(reader: &mut R) -> io::Result<Option<Message>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").and_then(|it| it.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
