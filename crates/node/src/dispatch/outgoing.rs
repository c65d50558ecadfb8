//! A request as it goes to a replica.

use std::time::Duration;

use base::{Millis, Name};
use bytes::Bytes;
use http::{HeaderMap, Method};
use route::Prefix;
use route::arrival::Priority;

use super::Export;

/// Bytes of a prompt whose hash stands for its shared beginning.
const PREFIX_BYTES: usize = 512;

/// All that a dispatch needs, admitted and bounded.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Id of the request.
    pub request_id: String,
    /// Workspace that it belongs to.
    pub workspace: Name,
    /// Endpoint asked for.
    pub endpoint: Name,
    /// Route taken: method and path prefix.
    pub route: Name,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the endpoint, starting with a slash.
    pub path: String,
    /// Fields that go on.
    pub fields: HeaderMap,
    /// Answer body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Idempotency key as sent, if any.
    pub key: Option<String>,
    /// Whether another node sent it on to this one.
    pub forwarded: bool,
    /// Tokens that the caller already holds.
    pub delivered: u32,
    /// Order among the workspace's own requests.
    pub priority: Priority,
    /// When the answer must have begun.
    pub deadline: Millis,
    /// Longest wait for the next piece of an answer.
    pub idle: Duration,
}

impl Outgoing {
    /// Hash of the beginning of the prompt, for endpoints that cache prefixes.
    pub fn prefix(&self) -> Option<Prefix> {
        if !self.stream {
            return None;
        }
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        let prompt = body.get("prompt")?.as_str()?.as_bytes();
        let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let digest = blake3::hash(start);
        let (first, _rest) = digest.as_bytes().split_first_chunk::<8>()?;
        Some(Prefix(u64::from_le_bytes(*first)))
    }

    /// The body of a dispatch that goes on after `delivered` tokens.
    pub fn body_after(&self, delivered: u32, import: Option<&Export>) -> Bytes {
        if !self.stream {
            return self.body.clone();
        }
        let Ok(mut body) = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(&self.body)
        else {
            return self.body.clone();
        };
        body.insert("stream".to_owned(), true.into());
        body.insert("resume_from".to_owned(), delivered.into());
        if let Some(Export(export)) = import {
            body.insert("import".to_owned(), export.clone());
        }
        serde_json::to_vec(&body).map_or_else(|_error| self.body.clone(), Bytes::from)
    }
}
