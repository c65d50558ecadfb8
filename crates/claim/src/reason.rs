//! Why a call has no answer of the endpoint.

use std::fmt;

use base::Outcome;

/// Why a call is refused. Each reason has one outcome, a counter label and a message that says what to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The tag does not match the key: not issued here, or issued under another secret.
    Forged,
    /// The key was issued for another endpoint or workspace.
    OtherBinding,
    /// The key stands for a request with another method, path or body.
    Mismatch,
    /// The key is older than what its home remembers.
    Expired,
    /// No room for another key.
    TooManyKeys,
    /// Too many calls wait for the same key.
    TooManyWaiters,
    /// The node stops and starts nothing more.
    NodeStopping,
    /// The run ended before anything was sent to the endpoint.
    NotStarted,
    /// The run may have reached the endpoint; its answer is not known.
    Interrupted,
    /// The endpoint answered, but the answer is no longer kept.
    RecordDropped,
    /// The key's home is gone and handed nothing over.
    HomeGone,
    /// The key's home can't be reached at the moment.
    HomeUnreachable,
    /// The home's hand-over has not arrived completely.
    HandoverPartial,
    /// The home handed over completely and certified that the key never ran.
    NeverRun,
    /// The key-value service does not answer, so a chosen key can't be claimed.
    StoreUnavailable,
    /// The claim was not settled before the call's deadline.
    ClaimTimeout,
    /// Another node holds the claim, and no result is recorded.
    HeldElsewhere,
}

impl Reason {
    /// Every reason, for counters that exist before their first use.
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

    /// What the caller may conclude about this call.
    ///
    /// NB: a reason that can meet a repeat of a request that ran has the outcome `unknown`, never `not-run`. So has
    /// a forged key, as it can't be told from one issued under an earlier secret.
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

    /// Whether the same key may have a better answer later; repeating it is always safe.
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

    /// Label of the reason's counter.
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
