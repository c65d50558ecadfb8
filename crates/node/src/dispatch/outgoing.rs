//! A request to send to a replica.

use std::time::Duration;

use base::{Millis, Name};
use bytes::Bytes;
use http::{HeaderMap, Method};
use route::Prefix;
use route::arrival::Priority;

use super::Export;

/// Number of leading bytes of a prompt whose hash identifies its prefix.
const PREFIX_BYTES: usize = 512;

/// An admitted request with everything that a dispatch needs.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Id of the request.
    pub request_id: String,
    /// Workspace of the request.
    pub workspace: Name,
    /// Requested endpoint.
    pub endpoint: Name,
    /// Matched route: method and path prefix.
    pub route: Name,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the endpoint, with a leading slash.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Idempotency key sent by the caller, if any.
    pub key: Option<String>,
    /// Whether another node forwarded the request to this one.
    pub forwarded: bool,
    /// Number of tokens already delivered to the caller.
    pub delivered: u32,
    /// Priority among the requests of the workspace.
    pub priority: Priority,
    /// Time by which the answer must begin.
    pub deadline: Millis,
    /// Idle timeout while waiting for the next piece of an answer.
    pub idle: Duration,
}

impl Outgoing {
    /// Hash of the prompt's prefix, for endpoints that cache prefixes.
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

    /// Body of a dispatch that resumes after `delivered` tokens.
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
