//! Interface that an adapter to a platform implements: names and formats used with callers, replicas and the store, and
//! calls to the cloud's API. Implementations only translate and make no decisions.

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

pub use cloud::{Cloud, CloudError, Permit, Replicas, Usage};
pub use forward::Forward;
pub use record::StoredRecord;
pub use request_head::{HeadError, RequestHead, TokenCounts};
pub use response_head::{Advice, ResponseHead};
pub use rollout::{RolloutOrder, RolloutProgress, RolloutState};

/// A caller's request for node addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Availability zone of the caller, if it sent one.
    pub zone: Option<String>,
    /// Region of the caller, if it sent one.
    pub region: Option<String>,
    /// Host of the caller's requests, if it sent one.
    pub host: Option<String>,
}

/// The names and formats of a platform.
pub trait Edge: std::fmt::Debug + Send + Sync {
    /// Decodes the head of a caller's request.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Converts a caller's headers into those sent to a replica: removes the headers that only the node may set, then
    /// sets them.
    fn set_forward_headers(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Workspace that the headers of a request to a replica state; empty if there is none.
    fn workspace<'a>(&self, headers: &'a HeaderMap) -> &'a [u8];

    /// Reduces the time left that the headers of a request to a replica state.
    fn subtract_time(&self, headers: &mut HeaderMap, spent: Millis);

    /// Decodes the head of a replica's response to the request with this id.
    fn decode_response(&self, id: &Bytes, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Id of a stream event; `None` if the event has none.
    fn event_id(&self, event: &[u8]) -> Option<u64>;

    /// Decodes an address lookup; `None` if the path is not the one for lookups.
    fn decode_lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// Encodes the response to an address lookup, which the caller may cache for `ttl`.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Millis) -> Bytes;

    /// Whether the path is the one for readiness checks.
    fn is_readiness(&self, uri: &Uri) -> bool;

    /// Key prefix of the nodes' internal records in the store.
    fn internal_prefix(&self) -> &'static str;

    /// Decodes a record from the store.
    fn decode_record(&self, key: &str, value: &Bytes) -> StoredRecord;

    /// Encodes the key and value of the record that reports the progress of a rollout to operators.
    fn encode_progress(&self, progress: &RolloutProgress) -> (String, Bytes);
}
