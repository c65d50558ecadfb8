//! Daemon for deployments in which callers pick a node from an address directory and the platform's store holds all
//! durable state.
//!
//! - [`app`] is the program: settings, signals, startup and shutdown order.
//! - [`edge`] is the interface that an adapter to a platform implements: names, formats and calls.
//! - [`serve`] handles requests, directory lookups and readiness checks; [`upstream`] connects to replicas.
//! - [`follow`] maintains the node's view of the store; [`register`] maintains the node's registration there, and
//!   [`publish`] writes its counts.
//! - [`blocks`] keeps the requests and prompt parts in the store that crash replicas.
//! - [`exchange`] lets nodes read the store and write to it through others.
//! - [`peers`] exchanges data that changes too fast for the store with the other nodes.
//! - [`reach`] finds out whether replicas can be reached.
//! - [`leader`] runs the tasks of the elected node: usage reports, replica scaling, rollouts.

pub mod app;
pub mod blocks;
pub mod counts;
pub mod edge;
pub mod error;
pub mod exchange;
pub mod follow;
pub mod intake;
pub mod leader;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod node;
pub mod peers;
pub mod publish;
pub mod reach;
pub mod register;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod upstream;
pub mod view;
pub mod wall_clock;

pub use error::Error;
pub use settings::Settings;
pub use shared::Shared;
