//! Clients.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Connection, Message};

/// How a client attempt ended.
#[derive(Clone, Debug)]
pub enum End {
    Answered(Message),
    /// No connection.
    Refused,
    /// The connection ended, or the time was up, without an answer.
    Nothing(String),
}

impl End {
    pub fn label(&self) -> String {
        match self {
            End::Answered(answer) if answer.whole => format!("{}", answer.status()),
            End::Answered(answer) => format!("{} incomplete", answer.status()),
            End::Refused => "no connection".to_owned(),
            End::Nothing(cause) => format!("no answer ({cause})"),
        }
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub lines: &'a str,
    pub body: &'a str,
}

impl Request<'_> {
    pub fn text(&self) -> String {
        let Request { method, path, id, key, deadline_ms, lines, body } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nCredential: {key}\r\nDeadline-Ms: \
             {deadline_ms}\r\n{lines}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// A client that keeps its connection.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, Connection)>,
}

impl Client {
    /// Sends a request and waits until its deadline for the answer.
    pub fn send(&mut self, address: SocketAddr, request: &Request<'_>) -> End {
        let limit = Duration::from_millis(request.deadline_ms + 1_000);
        let mut connection = match self.open.take() {
            Some((known, connection)) if known == address => connection,
            _ => match Connection::connect(address, Duration::from_secs(1)) {
                Ok(connection) => connection,
                Err(_) => return End::Refused,
            },
        };
        let _ignored = connection.stream.set_read_timeout(Some(limit));
        if let Err(error) = connection.write(request.text().as_bytes()) {
            return End::Nothing(error.to_string());
        }
        match connection.read() {
            Ok(Some(answer)) => {
                let closes = answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
                if answer.whole && !closes {
                    self.open = Some((address, connection));
                }
                End::Answered(answer)
            }
            Ok(None) => End::Nothing("connection closed".to_owned()),
            Err(error) => End::Nothing(error.to_string()),
        }
    }
}
