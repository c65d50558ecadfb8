//! The daemon where callers choose among the nodes' addresses and the platform's store holds what lasts.
//!
//! - [`app`] is the program: settings, signals, the order of start and stop.
//! - [`edge`] is what an adapter to a platform has to supply: its names and formats, its calls.
//! - [`serve`] takes requests, the directory's and readiness questions; [`upstream`] talks to replicas.
//! - [`follow`] keeps the node's view of the store; [`register`] its own entry there, [`publish`] what it counted.
//! - [`peers`] tells the other nodes what changes too fast for the store.
//! - [`duty`] does what one node at a time does: usage reports, orders for replicas, rollouts.

pub mod app;
pub mod counts;
pub mod edge;
pub mod error;
pub mod follow;
pub mod leader;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod node;
pub mod peers;
pub mod publish;
pub mod register;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod stop;
pub mod upstream;
pub mod view;
pub mod wall_clock;

pub use error::Error;
pub use settings::Settings;
pub use shared::Shared;
