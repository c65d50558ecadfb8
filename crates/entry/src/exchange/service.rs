//! Serves the calls of other nodes.

use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use relay::{Answer, Pace, Query, Question};
use table::Limits;
use tokio::time::timeout;

use super::{CHANGES_PATH, REPORTS_PATH};
use crate::Shared;
use crate::publish::Summary;
use crate::serve::{Body, full_body, handle_forward, is_forward, read_body};

/// Maximum size of a call's body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Serves a call of another node.
pub async fn handle_request(
    shared: Arc<Shared>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    if is_forward(&request) {
        return handle_forward(shared, caller, request).await;
    }
    let (head, incoming) = request.into_parts();
    let limits = Limits {
        body_bytes: MAX_BODY_BYTES,
        ..shared.caller_limits()
    };
    let deadline = shared.now() + limits.idle_timeout;
    let body = match read_body(&shared, &head, incoming, limits, deadline).await {
        Ok(body) => body.to_bytes(),
        Err(reason) => {
            log::debug!(cause = reason.label(); "call of a node broken off");
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    match head.uri.path() {
        CHANGES_PATH => answer_question(&shared, &body).await,
        REPORTS_PATH => take_reports(&shared, &body),
        _unknown => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn answer_question(shared: &Arc<Shared>, body: &Bytes) -> Response<Body> {
    let query: Query = match postcard::from_bytes(body) {
        Ok(query) => query,
        Err(error) => {
            log::warn!(cause:% = error; "invalid question of a node");
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let answer = wait_for_answer(shared, query).await;
    let label = match &answer {
        Answer::Changes {
            is_confirmed: true, ..
        } => "confirmed",
        Answer::Changes { .. } => "changes",
        Answer::HistoryGone { .. } => "history-gone",
        Answer::Unavailable => "unavailable",
    };
    metrics::counter!("bilberrylatch_questions_total", "answer" => label).increment(1);
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => respond(StatusCode::OK, Bytes::from(bytes)),
        Err(error) => {
            log::error!(cause:% = error; "failed to encode an answer");
            respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

async fn wait_for_answer(shared: &Arc<Shared>, query: Query) -> Answer {
    let asked = shared.questions().ask(shared.now(), query);
    let (question, receiver) = match asked {
        Ok(waiting) => waiting,
        Err(answer) => return answer,
    };
    let _withdrawal = Withdrawal {
        shared: Arc::clone(shared),
        question,
    };
    let limit = Pace::new(shared.settings().apply_time).answer_timeout();
    match timeout(limit.as_duration(), receiver).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => Answer::Unavailable,
    }
}

/// Withdraws a question when its asker disconnects.
struct Withdrawal {
    shared: Arc<Shared>,
    question: Question,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        self.shared.questions().withdraw(self.question);
    }
}

fn take_reports(shared: &Shared, body: &Bytes) -> Response<Body> {
    match Summary::decode(body) {
        Ok(summary) => {
            shared.collect_reports(&summary);
            respond(StatusCode::OK, Bytes::new())
        }
        Err(error) => {
            log::warn!(cause:% = error; "invalid reports of a node");
            respond(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

fn respond(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}
