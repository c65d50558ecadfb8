//! What an adapter to a platform supplies: names and formats towards callers, replicas and the store, and the calls
//! to the cloud's API. Nothing behind these traits decides anything.

mod cloud;
mod forward;
mod record;
mod request_head;
mod response_head;
mod rollout;

use std::net::SocketAddr;

use base::Millis;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, Uri, request};

pub use cloud::{Cloud, CloudError, Replicas, Usage};
pub use forward::Forward;
pub use record::StoredRecord;
pub use request_head::{HeadError, RequestHead, TokenCounts};
pub use response_head::ResponseHead;
pub use rollout::{RolloutOrder, RolloutProgress, RolloutState};

/// A caller's question for addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Availability zone of the caller, if it says so.
    pub zone: Option<String>,
}

/// Names and formats of a platform.
pub trait Edge: std::fmt::Debug + Send + Sync {
    /// Decodes the head of a caller's request.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Turns a caller's headers into those for a replica: takes out what only the node may set, and sets it.
    fn set_forward_headers(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Decodes the head of a replica's answer to the request with this id.
    fn decode_response(&self, id: &Bytes, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Id of a stream's event; `None` if the event has none.
    fn event_id(&self, event: &[u8]) -> Option<u64>;

    /// Decodes a question for addresses; `None` if the path is another.
    fn decode_lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// Encodes the answer to a question for addresses, which the caller may keep for `ttl`.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Millis) -> Bytes;

    /// Whether a path asks for the node's readiness.
    fn is_readiness(&self, uri: &Uri) -> bool;

    /// Prefix of the keys that the node keeps in the store itself.
    fn internal_prefix(&self) -> &'static str;

    /// Decodes a record of the store.
    fn decode_record(&self, key: &str, value: &Bytes) -> StoredRecord;

    /// Key and value by which the operators are told how a move to another version stands.
    fn encode_progress(&self, progress: &RolloutProgress) -> (String, Bytes);
}
