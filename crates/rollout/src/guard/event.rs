//! Events and actions of a guard.

use base::{Millis, Name};

use crate::{Assignment, Id, Share, Shares, Veto};

/// An event for a [`crate::Guard`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// New shares came into force on this node.
    Applied(Box<Shares>),
    /// The new version of this rollout was vetoed elsewhere.
    Vetoed(Id),
    /// Approximate number of nodes, among which the error rate is divided.
    Nodes(u32),
    /// A request was sent to a replica.
    Started {
        /// Endpoint of the request.
        endpoint: Name,
        /// Route of the request.
        route: Name,
        /// Assignment of its version; `None` if the version was not drawn.
        assignment: Option<Assignment>,
    },
    /// A request ended.
    ///
    /// NB: a failure that is known to be caused by the machine (a reclaimed VM, a refused connection to a
    /// leaving replica) says nothing about the version and must not be reported as a failure.
    Finished {
        /// Endpoint of the request.
        endpoint: Name,
        /// Route of the request.
        route: Name,
        /// Assignment that was passed with its start.
        assignment: Option<Assignment>,
        /// Time that was passed with its start.
        started: Millis,
        /// Whether the request failed.
        failed: bool,
    },
    /// Periodic timer, expected about ten times a second.
    Tick,
}

/// An action requested by a [`crate::Guard`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The new version is bad: stop sending requests to it, and send the veto to peers and the controller.
    Veto(Box<Veto>),
    /// Set or remove the limit of a route's share on this node, see [`crate::Split::cap`].
    Cap {
        /// Id of the rollout.
        rollout: Id,
        /// Route of the request.
        route: Name,
        /// Largest share; `None` removes the limit.
        cap: Option<Share>,
    },
}
