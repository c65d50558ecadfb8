//! VMs: reclaim notices, drains, starts, cost and the pace of model loads.
//!
//! Everything here is stepped with the caller's time: no clock, no IO, no threads.
//!
//! - [`Marks`] remembers which VMs are leaving; [`Roster`] keeps the replicas, from lists, notices and refusals.
//! - [`Drain`] says what to do with each running request within the notice.
//! - [`Planner`] buys the cheapest mix of VMs that keeps the capacity with the worst zone gone.
//! - [`capacity`] says how many replicas of which kind an endpoint needs in which zones.
//! - [`Pace`] starts model loads no faster than the weight store serves them.

pub mod capacity;
pub mod departures;
pub mod drain;
pub mod inventory;
pub mod planner;
pub mod throttle;

pub use departures::Departures;
pub use drain::Drain;
pub use inventory::Inventory;
pub use member::item::Vm;
pub use planner::Planner;
pub use throttle::Throttle;
