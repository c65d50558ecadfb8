//! The catalogue of endpoints: its TOML format, checks, differences and generations.
//!
//! Operators write one TOML text. It is stored and passed between nodes as that text, so that comments last;
//! nodes read it with [`Catalogue::parse`], which reports every finding with its place.

pub mod class;
pub mod diff;
pub mod document;
pub mod endpoint;
pub mod finding;
pub mod head;
pub mod limits;
pub mod price;
pub mod read;
pub mod route;
pub mod share;
pub mod token;
pub mod workspace;

pub use class::Class;
pub use diff::Change;
pub use document::Catalogue;
pub use endpoint::{Endpoint, Fencing, Kind};
pub use finding::{Finding, Findings, Severity};
pub use head::Head;
pub use limits::Limits;
pub use price::Price;
pub use route::Route;
pub use share::Share;
pub use workspace::Workspace;
