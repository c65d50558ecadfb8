//! Faults that several stand-ins share.

pub mod bad;
pub mod faults;
pub mod injector;
pub mod outage;
pub mod plan;
pub mod trigger;

pub use bad::{Bad, Badness};
pub use faults::Faults;
pub use injector::Injector;
pub use outage::Outage;
pub use plan::{Failure, Plan, Twist};
pub use trigger::Trigger;
