//! Sends requests to replicas and reads their answers to the end.

pub mod answer;
pub mod attempt;
pub mod driver;
pub mod export;
pub mod header;
mod interrupt;
pub mod outgoing;
pub mod part;
pub mod stream;

pub use answer::Answer;
pub use driver::{Driver, End};
pub use export::Export;
pub use outgoing::Outgoing;
pub use part::{Part, Token};
