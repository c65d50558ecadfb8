//! What a guard is told, and what it asks for.

use base::{Millis, Name};

use crate::{Assignment, Id, Share, Shares, Veto};

/// An event for a [`crate::Guard`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Shares came into force on this node.
    Applied(Box<Shares>),
    /// A rollout's new version was vetoed elsewhere.
    Vetoed(Id),
    /// About this many nodes take part; the error rate is divided among them.
    Nodes(u32),
    /// A request was sent to a replica.
    Started {
        /// The endpoint.
        endpoint: Name,
        /// The route.
        route: Name,
        /// How its version was drawn; none if there was no draw.
        assignment: Option<Assignment>,
    },
    /// A request ended.
    ///
    /// NB: a failure that is known to come from the machine (a reclaimed VM, a refused connection to a
    /// leaving replica) says nothing about the version and must not be passed on as one.
    Finished {
        /// The endpoint.
        endpoint: Name,
        /// The route.
        route: Name,
        /// The assignment passed with its start.
        assignment: Option<Assignment>,
        /// The time passed with its start.
        started: Millis,
        /// Whether it failed.
        failed: bool,
    },
    /// Time has passed; expected about ten times a second.
    Tick,
}

/// What a [`crate::Guard`] asks its node to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The version is bad: stop sending to it, and spread the veto to peers and controller.
    Veto(Box<Veto>),
    /// Hold a route's share on this node at `cap`, or let it go, see [`crate::Split::cap`].
    Cap {
        /// The rollout.
        rollout: Id,
        /// The route.
        route: Name,
        /// The share to hold at.
        cap: Option<Share>,
    },
}
