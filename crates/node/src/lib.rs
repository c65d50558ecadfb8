//! The daemon. It connects callers, peers, replicas and the platform to the state machines of the other
//! crates.
//!
//! - [`app`] is the entry point: arguments, settings and signals.
//! - [`Node`] is one running node; tests and the demo start several in one process.
//! - [`edge`] serves callers, operators and peers; [`dispatch`] talks to replicas; [`platform`] talks to the
//!   key-value service and the cloud.
//! - [`actor`] holds the actors, each of which drives one or two state machines.

pub mod acceptor;
pub mod actor;
pub mod app;
pub mod args;
pub mod dispatch;
pub mod edge;
pub mod error;
pub mod exit;
pub mod hash;
pub mod lifecycle;
pub mod logs;
pub mod node;
pub mod platform;
pub mod retained;
pub mod serving;
pub mod settings;
pub mod shared;
pub mod snapshot;
pub mod supervise;

pub use app::run;
pub use error::Error;
pub use node::Node;
pub use settings::Settings;
pub use supervise::supervise;
