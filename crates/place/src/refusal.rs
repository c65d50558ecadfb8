//! Reasons why no replica was chosen.

use base::Millis;

/// Reason why a request is not sent to any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No replica of the endpoint accepts the request.
    NoReplica,
    /// No replica can be connected to, from this node or through another one.
    Unreachable,
    /// All replicas that accept the request were already tried.
    AllTried,
    /// All replicas that would accept the request are in evacuated zones.
    Evacuated,
    /// All replicas that would accept the request are in regions that its route or workspace does not allow.
    OutsideRegions,
    /// All replicas are full; there may be capacity after this time.
    Full(Millis),
    /// All replicas that are not full named rate limits that are used up, or want no requests for a while; one takes a request
    /// after this time.
    Limited(Millis),
    /// All replicas that are not full are cold and have received what they take; one takes a request after this time.
    Cold(Millis),
    /// The capacity that is left is for more urgent requests; there may be more after this time.
    Reserved(Millis),
    /// The answer would come too late; queues should be shorter after this time.
    TooLate(Millis),
}

impl Refusal {
    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::Unreachable => "unreachable",
            Self::AllTried => "all_tried",
            Self::Evacuated => "evacuated",
            Self::OutsideRegions => "outside_regions",
            Self::Full(_) => "full",
            Self::Limited(_) => "replicas_limited",
            Self::Cold(_) => "replicas_cold",
            Self::Reserved(_) => "reserved",
            Self::TooLate(_) => "too_late",
        }
    }

    /// The same refusal with another time, if it is for want of capacity.
    #[must_use]
    pub const fn with_wait(self, wait: Millis) -> Self {
        match self {
            Self::Full(_) => Self::Full(wait),
            Self::Reserved(_) => Self::Reserved(wait),
            Self::TooLate(_) => Self::TooLate(wait),
            Self::NoReplica
            | Self::Unreachable
            | Self::AllTried
            | Self::Evacuated
            | Self::OutsideRegions
            | Self::Limited(_)
            | Self::Cold(_) => self,
        }
    }

    /// Whether there is not enough capacity for the request.
    pub const fn is_shortage(self) -> bool {
        matches!(self, Self::Full(_) | Self::Reserved(_) | Self::TooLate(_))
    }

    /// Returns the time after which the caller should retry.
    pub const fn retry_after(self) -> Millis {
        /// Time for the successor of a crashed replica, or a missing heartbeat, to appear.
        const NO_REPLICA: Millis = Millis(1_000);
        /// Time for one of the tried replicas to recover.
        const ALL_TRIED: Millis = Millis(300);
        /// Time until it is known whether one can be connected to again.
        const UNREACHABLE: Millis = Millis(500);
        /// Time in which an evacuation may end, or replicas start in another zone.
        const EVACUATED: Millis = Millis(1_000);
        match self {
            Self::NoReplica | Self::OutsideRegions => NO_REPLICA,
            Self::Evacuated => EVACUATED,
            Self::Unreachable => UNREACHABLE,
            Self::AllTried => ALL_TRIED,
            Self::Full(wait)
            | Self::Limited(wait)
            | Self::Cold(wait)
            | Self::Reserved(wait)
            | Self::TooLate(wait) => wait,
        }
    }
}
