//! Faults shared by several fake servers.

pub mod faults;
pub mod injector;
pub mod outage;
pub mod plan;
pub mod regression;
pub mod trigger;

pub use faults::Faults;
pub use injector::Injector;
pub use outage::Outage;
pub use plan::{Corruption, Failure, Plan};
pub use regression::{Effect, Regression};
pub use trigger::Trigger;
