//! The node's edges: callers and operators over HTTP, peers over QUIC.

pub mod addresses;
pub mod admin;
pub mod auth;
pub mod call;
pub mod claimed;
pub mod drain;
pub mod handover;
pub mod http;
pub mod intake;
pub mod keys;
pub mod peer;
pub mod problem;
pub mod streamed;

pub use problem::Problem;
