//! VM planning: reclaim notices, drains, capacity, cost and rate-limited model loads.
//!
//! The types are state machines that take the current time from the caller: no clock, no IO, no threads.
//!
//! - [`Departures`] records which VMs are leaving.
//! - [`Inventory`] tracks the replicas from VM lists, reclaim notices and refused connections.
//! - [`Drain`] decides what happens to each running request within the notice period.
//! - [`Planner`] buys the cheapest mix of VMs that keeps enough capacity after the loss of any one zone.
//! - [`capacity`] computes how many on-demand and reclaimable replicas an endpoint needs in each zone.
//! - [`Order`] decides when replicas are ordered again.
//! - [`Throttle`] starts model loads no faster than the weight store serves them.

pub mod capacity;
pub mod departures;
pub mod drain;
pub mod inventory;
pub mod order;
pub mod planner;
pub mod throttle;

pub use departures::Departures;
pub use drain::Drain;
pub use inventory::Inventory;
pub use member::item::Vm;
pub use order::Order;
pub use planner::Planner;
pub use throttle::Throttle;
