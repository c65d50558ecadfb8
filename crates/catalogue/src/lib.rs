//! The catalogue of endpoints: TOML format, validation, diffs and generations.
//!
//! Operators write the catalogue as one TOML text. It is stored and sent between nodes as that text, which preserves
//! its comments. Nodes read it with [`Catalogue::parse`], which reports every finding with its line and column.

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
