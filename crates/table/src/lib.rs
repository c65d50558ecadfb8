//! Routing table of one configuration: routes, endpoints and workspaces, looked up for each request.
//!
//! A [`Table`] is immutable. A new configuration makes a new table, and a request uses the table that was current when
//! it started.

mod cold;
mod endpoint;
mod kind;
mod limits;
mod model;
mod residency;
mod route;
mod scale;
mod table;
mod workspace;

pub use cold::Cold;
pub use endpoint::Endpoint;
pub use kind::Kind;
pub use limits::Limits;
pub use model::Model;
pub use residency::{Residency, Suitability};
pub use route::{Route, Target};
pub use scale::Scale;
pub use table::{Match, Table};
pub use workspace::{Access, Workspace};
