//! An admitted request.

use std::sync::Arc;

use admission::{Class, Retry, Urgency};
use base::Millis;
use http::{HeaderMap, Method, Uri, header};
use place::Part;
use poison::{Content, Suspects};
use rand::RngExt;
use table::{Route, Table, Workspace};

use crate::edge::RequestHead;
use crate::intake::Payload;
use crate::view::Versions;

/// Minimum time until a refused request is tried again. Nodes report to each other every 50 to 100 ms, so that less changes
/// before.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// An admitted request with the configuration in force when it was admitted.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The decoded head.
    pub request_head: RequestHead,
    /// Its method.
    pub method: Method,
    /// Path and query, as sent by the caller.
    pub uri: Uri,
    /// The headers, without connection-specific ones.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
    /// When the head was read.
    pub received: Millis,
    /// Deadline of the final response.
    pub deadline: Millis,
    /// The configuration.
    pub table: Arc<Table>,
    /// Index of the route in the configuration.
    pub route: usize,
    /// Index of the workspace in the configuration, if the route requires one.
    pub workspace: Option<usize>,
    /// The selected endpoint.
    pub endpoint: Arc<str>,
    /// Allowed versions of the replica.
    pub versions: Versions,
    /// Availability zones in which it may be processed; `None` if it may be in any.
    pub zones: Option<Arc<[Arc<str>]>>,
    /// What of it may crash a replica.
    pub suspects: Suspects,
}

impl Call {
    /// The route.
    pub fn route(&self) -> &Route {
        &self.table.routes()[self.route]
    }

    /// The workspace, if the route requires one.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.workspace.map(|index| &self.table.workspaces()[index])
    }

    /// The request id as text.
    pub fn id(&self) -> &str {
        str::from_utf8(&self.request_head.id).unwrap_or("")
    }

    /// The id of what the caller asks for, as a slice of one.
    pub fn content(&self) -> &[u64] {
        self.suspects.ids().get(..1).unwrap_or_default()
    }

    /// The priority; 0 is the highest. That of the workspace takes precedence over that of the route.
    pub fn priority(&self) -> u8 {
        let own = self.workspace().and_then(|it| it.priority);
        own.unwrap_or(self.route().priority)
    }

    /// The class by which limits and capacity are given.
    pub fn class(&self) -> Class {
        let endpoint = self.table.endpoint(&self.endpoint);
        if endpoint.is_some_and(|it| it.model.is_some()) {
            Class::prompt(self.priority())
        } else {
            Class::PLAIN
        }
    }

    /// How urgent it is; `None` if the requests to its endpoint are all alike.
    pub fn urgency(&self, now: Millis) -> Option<Urgency> {
        if !self.table.is_contended(&self.endpoint) {
            return None;
        }
        let target = self.route().target_latency;
        Some(Urgency {
            class: self.class(),
            target,
            target_left: (self.received + target).since(now),
            workspace: self.workspace().map_or(0, |it| place::hash(&it.name)),
        })
    }

    /// When the caller should try a refused request again.
    pub fn retry_after(&self, now: Millis, expected: Millis) -> Millis {
        let retry = Retry {
            class: self.class(),
            earliest: MIN_RETRY_AFTER,
            expected,
            target_left: (self.received + self.route().target_latency).since(now),
            time_left: self.time_left(now),
        };
        retry.wait(rand::rng().random())
    }

    /// Time left until the deadline.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Number of tokens charged to the workspace's limit.
    pub fn token_cost(&self) -> u64 {
        let default = self.workspace().map_or(0, |it| it.default_tokens);
        let declared = self
            .request_head
            .tokens
            .map(|it| u64::from(it.input) + u64::from(it.output));
        declared.unwrap_or(default)
    }
}

/// What of a request may crash a replica. The headers are those of the caller or those sent to a replica.
pub(super) fn suspects(
    head: (&Method, &Uri, &HeaderMap),
    workspace: &[u8],
    body: &Payload,
    shared_parts: &[Part],
) -> Suspects {
    let (method, uri, headers) = head;
    let blocks: Vec<&[u8]> = body.blocks().collect();
    let content = Content {
        method: method.as_str(),
        host: headers.get(header::HOST).map_or(&[], |value| value.as_bytes()),
        target: uri.path_and_query().map_or("/", |it| it.as_str()),
        workspace,
        body: &blocks,
    };
    Suspects::new(content.id(), shared_parts.iter().map(|part| part.id))
}
