//! A caller's request as the router sees it.

use base::Millis;

use crate::key::{CallKey, EndpointKey, Prefix, VersionKey, WorkspaceKey};

/// Order among the waiting requests of one workspace; it gives no precedence over other workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Somebody is waiting for the answer.
    Interactive,
    /// The usual.
    #[default]
    Normal,
    /// Overnight work.
    Batch,
}

/// A request that asks to be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request; a number that this router has not seen before.
    pub call: CallKey,
    /// The endpoint asked for.
    pub endpoint: EndpointKey,
    /// Who pays.
    pub workspace: WorkspaceKey,
    /// Whether the request's route may run more than once without harm.
    pub idempotent: bool,
    /// When the answer must have begun at the latest. Refused at once when that can't be met.
    pub deadline: Millis,
    /// Order among the workspace's own waiting requests.
    pub priority: Priority,
    /// Shared beginning of the prompt, if the endpoint caches prefixes.
    pub prefix: Option<Prefix>,
    /// The version that the rollout's split chose; any version if none.
    pub version: Option<VersionKey>,
    /// The version to take when the chosen one has no free replica; none keeps the request waiting for its own.
    pub fallback: Option<VersionKey>,
    /// Tokens that the caller already holds, when a stream is taken over from another node; else zero.
    pub delivered: u32,
}

impl Arrival {
    /// A non-idempotent request of normal priority, without prefix, for any version.
    pub const fn new(
        call: CallKey,
        endpoint: EndpointKey,
        workspace: WorkspaceKey,
        deadline: Millis,
    ) -> Self {
        Self {
            call,
            endpoint,
            workspace,
            idempotent: false,
            deadline,
            priority: Priority::Normal,
            prefix: None,
            version: None,
            fallback: None,
            delivered: 0,
        }
    }

    /// Says whether the request may run more than once.
    pub const fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets the order among the workspace's own requests.
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Names the shared beginning of the prompt.
    pub const fn with_prefix(mut self, prefix: Prefix) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Asks for a version, and for another one when that has no free replica.
    pub const fn with_version(mut self, version: VersionKey, fallback: Option<VersionKey>) -> Self {
        self.version = Some(version);
        self.fallback = fallback;
        self
    }

    /// Resumes a stream after tokens that the caller already holds.
    pub const fn with_delivered(mut self, tokens: u32) -> Self {
        self.delivered = tokens;
        self
    }
}
