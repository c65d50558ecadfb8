//! How close each of the users' rules came to breaking, worked out from the daemon's logs.
//!
//! [`Sources`] merges the logs of several nodes by time, [`Analysis`] reads them in one pass with bounded memory, and
//! [`Report`] has one row a rule with its bound, the worst case and where it was seen. Nothing here does I/O.

mod analysis;
mod bounded;
mod bounds;
mod event;
mod line;
mod margin;
mod names;
mod queue;
mod report;
mod requests;
mod rule;
mod sources;
mod time;
mod window;

pub use analysis::Analysis;
pub use bounds::{Bounds, RouteBounds, WorkspaceBounds};
pub use report::{Overflow, Reject, Rejects, Report, Row, Verdict};
pub use sources::{Located, Sources};

use bounded::Bounded;
use event::Event;
use margin::{Margin, Place, Worst};
use names::{Name, Names};
use time::Time;
