//! Reasons for refusing a call.

use std::fmt;

use base::Outcome;

/// Why a call is refused. Each reason has an outcome, a counter label and a message that tells the caller what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The tag does not match: the key was not issued by this deployment, or under another secret.
    Forged,
    /// The key was issued for another endpoint or workspace.
    OtherBinding,
    /// The key was first used with another method, path or body.
    Mismatch,
    /// The key is older than the state that its home node keeps.
    Expired,
    /// The limit of held keys or waiting calls is reached.
    TooManyKeys,
    /// Too many calls wait for the same key.
    TooManyWaiters,
    /// The node is draining and starts no more runs.
    NodeStopping,
    /// The run ended before anything was sent to the endpoint.
    NotStarted,
    /// The run may have reached the endpoint; its response is unknown.
    Interrupted,
    /// The endpoint responded, but the response is no longer kept.
    RecordDropped,
    /// The home node is gone, and no handover covers this key.
    HomeGone,
    /// The home node cannot be reached at the moment.
    HomeUnreachable,
    /// The handover of the home node is incomplete.
    HandoverPartial,
    /// A complete handover of the home node certifies that the key never ran.
    NeverRun,
    /// The key-value service is unavailable, so a chosen key cannot be claimed.
    StoreUnavailable,
    /// The claim was not decided before the call's deadline.
    ClaimTimeout,
    /// Another node holds the claim and has recorded no result.
    HeldElsewhere,
}

impl Reason {
    /// Every reason, so that counters can be registered before their first use.
    pub const ALL: [Self; 17] = [
        Self::Forged,
        Self::OtherBinding,
        Self::Mismatch,
        Self::Expired,
        Self::TooManyKeys,
        Self::TooManyWaiters,
        Self::NodeStopping,
        Self::NotStarted,
        Self::Interrupted,
        Self::RecordDropped,
        Self::HomeGone,
        Self::HomeUnreachable,
        Self::HandoverPartial,
        Self::NeverRun,
        Self::StoreUnavailable,
        Self::ClaimTimeout,
        Self::HeldElsewhere,
    ];

    /// Outcome that is reported to the caller.
    ///
    /// A reason that a repeat of an executed request can get has the outcome `unknown`, never `not-run`. This includes
    /// a forged key, which cannot be distinguished from a key issued under an earlier secret.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::OtherBinding
            | Self::Mismatch
            | Self::TooManyKeys
            | Self::NodeStopping
            | Self::NotStarted
            | Self::NeverRun
            | Self::StoreUnavailable
            | Self::ClaimTimeout => Outcome::NotRun,
            Self::Forged
            | Self::Expired
            | Self::TooManyWaiters
            | Self::Interrupted
            | Self::RecordDropped
            | Self::HomeGone
            | Self::HomeUnreachable
            | Self::HandoverPartial
            | Self::HeldElsewhere => Outcome::Unknown,
        }
    }

    /// Whether a repeat of the same key may succeed later. Repeating is always safe.
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::TooManyKeys
            | Self::TooManyWaiters
            | Self::NotStarted
            | Self::HomeUnreachable
            | Self::HandoverPartial
            | Self::StoreUnavailable
            | Self::ClaimTimeout
            | Self::HeldElsewhere => true,
            Self::Forged
            | Self::OtherBinding
            | Self::Mismatch
            | Self::Expired
            | Self::NodeStopping
            | Self::Interrupted
            | Self::RecordDropped
            | Self::HomeGone
            | Self::NeverRun => false,
        }
    }

    /// HTTP status of the refusal.
    pub const fn status(self) -> u16 {
        match self {
            Self::Forged | Self::OtherBinding => 403,
            Self::Mismatch => 422,
            Self::Expired | Self::RecordDropped => 410,
            Self::TooManyWaiters | Self::HeldElsewhere => 409,
            Self::Interrupted | Self::HomeGone => 502,
            Self::TooManyKeys
            | Self::NodeStopping
            | Self::NotStarted
            | Self::HomeUnreachable
            | Self::HandoverPartial
            | Self::NeverRun
            | Self::StoreUnavailable
            | Self::ClaimTimeout => 503,
        }
    }

    /// Value of the reason label in metrics and error bodies.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Forged => "key-forged",
            Self::OtherBinding => "key-other-binding",
            Self::Mismatch => "key-mismatch",
            Self::Expired => "key-expired",
            Self::TooManyKeys => "keys-full",
            Self::TooManyWaiters => "key-crowded",
            Self::NodeStopping => "node-stopping",
            Self::NotStarted => "not-started",
            Self::Interrupted => "interrupted",
            Self::RecordDropped => "record-dropped",
            Self::HomeGone => "home-gone",
            Self::HomeUnreachable => "home-unreachable",
            Self::HandoverPartial => "handover-partial",
            Self::NeverRun => "never-run",
            Self::StoreUnavailable => "claim-outage",
            Self::ClaimTimeout => "claim-deadline",
            Self::HeldElsewhere => "claim-held",
        }
    }

    const fn message(self) -> &'static str {
        match self {
            Self::Forged => {
                "the key was not issued by this deployment; ask for a key and use it as it was given"
            }
            Self::OtherBinding => {
                "the key was issued for another endpoint or workspace; ask for one for this endpoint"
            }
            Self::Mismatch => "the key stands for another request; use a new key for a new request",
            Self::Expired => {
                "the key is too old to say whether it ran; check at the endpoint before using a new key"
            }
            Self::TooManyKeys => "no room for another key at the moment; send the same request again later",
            Self::TooManyWaiters => "too many calls wait for this key; repeat it later to get its result",
            Self::NodeStopping => {
                "the key's node is stopping and this request did not run; ask another node for a new key"
            }
            Self::NotStarted => "nothing was sent to the endpoint; send the same request again",
            Self::Interrupted => "the request may have run and will not run again; check at the endpoint",
            Self::RecordDropped => "the request ran and was answered, but the answer is no longer kept",
            Self::HomeGone => "the key's node is gone; the request may have run and will not run again",
            Self::HomeUnreachable => {
                "the key's node can't be reached; repeat the same key later, which is safe"
            }
            Self::HandoverPartial => {
                "the key's node is handing over; repeat the same key later, which is safe"
            }
            Self::NeverRun => "the key's node stopped without running this request; use a new key",
            Self::StoreUnavailable => {
                "this attempt did not run, as chosen keys can't be claimed at the moment; repeat it later, or, if no \
                 earlier attempt was made, ask for an issued key"
            }
            Self::ClaimTimeout => {
                "this attempt did not run, as its claim was not settled in time; repeat the same key later, or, if no \
                 earlier attempt was made, ask for an issued key"
            }
            Self::HeldElsewhere => {
                "another node holds this key and has recorded no result; repeat the same key later"
            }
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}
