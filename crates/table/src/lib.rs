//! Routes, endpoints and workspaces of one configuration, looked up by request.
//!
//! A [`Table`] is immutable: a new configuration is a new table, and a request keeps the one it started with.

mod endpoint;
mod kind;
mod limits;
mod model;
mod route;
mod scale;
mod table;
mod workspace;

pub use endpoint::Endpoint;
pub use kind::Kind;
pub use limits::Limits;
pub use model::Model;
pub use route::{Route, Target};
pub use scale::Scale;
pub use table::{Match, Table};
pub use workspace::{Access, Workspace};
