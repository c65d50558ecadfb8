//! A new request as the node passes it to the router.

use base::Millis;

use crate::key::{CallKey, EndpointKey, Prefix, VersionKey, WorkspaceKey};

/// Order among the queued requests of one workspace. It gives no precedence over other workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// A user is waiting for the response.
    Interactive,
    /// The default.
    #[default]
    Normal,
    /// Background work, such as overnight jobs.
    Batch,
}

/// A request to dispatch to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Key of the request; must not have been used in this router before.
    pub call: CallKey,
    /// The requested endpoint.
    pub endpoint: EndpointKey,
    /// The workspace that is charged.
    pub workspace: WorkspaceKey,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Latest time for the first token or byte of the response. A request that cannot meet it is refused at once.
    pub deadline: Millis,
    /// Order among the workspace's queued requests.
    pub priority: Priority,
    /// Shared prefix of the prompt, if the endpoint caches prefixes.
    pub prefix: Option<Prefix>,
    /// Version selected by the rollout's traffic split; `None` accepts any version.
    pub version: Option<VersionKey>,
    /// Version to use when the selected one has no free replica; `None` makes the request wait for the selected one.
    pub fallback: Option<VersionKey>,
    /// Tokens already delivered to the caller, when a stream is taken over from another node; otherwise zero.
    pub delivered: u32,
}

impl Arrival {
    /// Creates a non-idempotent request of normal priority, without a prefix, for any version.
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

    /// Sets whether the request may run more than once.
    pub const fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets the order among the workspace's queued requests.
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the shared prefix of the prompt.
    pub const fn with_prefix(mut self, prefix: Prefix) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Sets the version, and the one to use when it has no free replica.
    pub const fn with_version(mut self, version: VersionKey, fallback: Option<VersionKey>) -> Self {
        self.version = Some(version);
        self.fallback = fallback;
        self
    }

    /// Sets the number of already delivered tokens, after which a stream is resumed.
    pub const fn with_delivered(mut self, tokens: u32) -> Self {
        self.delivered = tokens;
        self
    }
}
