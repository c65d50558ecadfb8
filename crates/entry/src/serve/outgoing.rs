//! A request as it is sent to a replica.

use std::sync::Arc;

use base::Millis;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Either;
use place::Choice;

use super::call::Call;
use crate::Shared;
use crate::edge::Forward;
use crate::intake::Payload;
use crate::upstream::RequestBody;

/// Priority at the engine of requests that take only capacity which others don't need.
const LOWEST_PRIORITY: u8 = 9;

/// A request for a certain replica.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    replica: Arc<str>,
    workspace: Option<Arc<str>>,
    priority: Option<u8>,
    resume_after: Option<u64>,
    deadline: Millis,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Payload,
}

impl Outgoing {
    /// Prepares a request, which resumes a stream after an event if there is one.
    pub fn new(call: &Call, choice: &Choice, resume_after: Option<u64>) -> Self {
        let priority = if choice.is_spare {
            LOWEST_PRIORITY
        } else {
            call.priority()
        };
        Self {
            replica: Arc::clone(&choice.id),
            workspace: call.workspace().map(|it| Arc::clone(&it.name)),
            priority: (!call.request_head.parts.is_empty()).then_some(priority),
            resume_after,
            deadline: call.deadline,
            method: call.method.clone(),
            uri: call.uri.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
        }
    }

    /// The request, with the time that is left now.
    pub fn into_request(mut self, shared: &Shared) -> Request<RequestBody> {
        let forward = Forward {
            replica: &self.replica,
            workspace: self.workspace.as_deref(),
            time_left: self.deadline.since(shared.now()),
            priority: self.priority,
            resume_after: self.resume_after,
        };
        shared.edge.set_forward_headers(&mut self.headers, &forward);
        let mut request = Request::new(Either::Right(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        request
    }
}
