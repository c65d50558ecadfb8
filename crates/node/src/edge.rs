//! External interfaces of the node: HTTP for callers and operators, QUIC for peers.

pub mod addresses;
pub mod admin;
pub mod admission;
pub mod auth;
pub mod call;
pub mod drain;
pub mod handover;
pub mod http;
pub mod keyed;
pub mod keys;
pub mod peer;
pub mod problem;
pub mod streamed;

pub use problem::Problem;
