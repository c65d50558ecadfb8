//! Bounds on what clients make the process hold. The decisions are those of the crate [`intake`](::intake).

mod holding;
mod limit;
mod memory;
mod payload;
mod roster;

pub use holding::{Holding, NoMemory};
pub use limit::{Limit, Report};
pub use memory::Memory;
pub use payload::{Payload, Pieces};
pub use roster::{Address, Closed, Roster, Seat};
