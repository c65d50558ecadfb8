//! A request that was let in.

use std::sync::Arc;

use base::Millis;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use table::{Route, Table, Workspace};

use crate::edge::RequestHead;
use crate::view::Versions;

/// A request and what it is bound to: it keeps the configuration that it started with.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// What its head says.
    pub request_head: RequestHead,
    /// Its method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head was read.
    pub received: Millis,
    /// When its final answer is due.
    pub deadline: Millis,
    /// The configuration.
    pub table: Arc<Table>,
    /// Place of its route in the configuration.
    pub route: usize,
    /// Place of its workspace in the configuration, if its route asks for one.
    pub workspace: Option<usize>,
    /// Endpoint that it goes to.
    pub endpoint: Arc<str>,
    /// Versions that its replica may have.
    pub versions: Versions,
}

impl Call {
    /// Its route.
    pub fn route(&self) -> &Route {
        &self.table.routes()[self.route]
    }

    /// Its workspace.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.workspace.map(|index| &self.table.workspaces()[index])
    }

    /// Its id as text.
    pub fn id(&self) -> &str {
        str::from_utf8(&self.request_head.id).unwrap_or("")
    }

    /// Its rank, 0 first; the workspace's goes before the route's.
    pub fn priority(&self) -> u8 {
        let own = self.workspace().and_then(|it| it.priority);
        own.unwrap_or(self.route().priority)
    }

    /// Time until its final answer is due.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Tokens that it counts against the workspace's limit.
    pub fn token_cost(&self) -> u64 {
        let plain = self.workspace().map_or(0, |it| it.default_tokens);
        let counted = self
            .request_head
            .tokens
            .map(|it| u64::from(it.input) + u64::from(it.output));
        counted.unwrap_or(plain)
    }
}
