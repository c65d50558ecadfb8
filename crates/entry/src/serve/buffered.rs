//! Responses that are read completely before they are sent to the caller.

use base::Millis;
use bytes::{Buf, Bytes};
use futures::FutureExt;
use http::{HeaderMap, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use place::{DispatchError, DispatchOutcome, promises_not_run};
use tokio::task::yield_now;
use tokio::time::sleep;

use super::attempt::{AttemptError, Failure, Reply};
use super::body::{self, Body};
use super::dispatch::Dispatch;
use super::hedge::RETRY_INTERVAL;
use super::in_flight::InFlight;
use super::inbound::strip_connection;
use super::relay::check_usable;
use super::sent;
use crate::Shared;
use crate::edge::ResponseHead;
use crate::intake::Limit;
use crate::upstream::{Blocks, Connection, Exhausted, RESPONSES};

/// Maximum size of a response held in memory.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Size that each piece of a response counts at least, since the work of reading it does not depend on its size.
const MIN_PIECE_BYTES: usize = 64;

/// Maximum time without a byte of the body after which another replica is tried, as for the events of a stream.
const MAX_STALL_TIMEOUT: Millis = Millis(1_200);
/// Time for bytes that are there at the deadline, or when a suspended node wakes after it. A replica that never stops sending is
/// cut off by it.
const LATE_TIME: Millis = Millis(20);
/// Fraction of the time left after which it is tried, so that there is time for the other one.
const MAX_STALL_RATIO: f64 = 0.5;

/// A response being read.
#[derive(Debug)]
struct Reading {
    in_flight: InFlight,
    response_head: ResponseHead,
    connection: Connection,
    head: response::Parts,
    incoming: Incoming,
    blocks: Blocks,
    /// What was received and is not in the blocks yet.
    piece: Bytes,
    size: usize,
}

impl Reading {
    fn open(reply: Reply) -> Self {
        let Reply {
            in_flight,
            response_head,
            pending,
        } = reply;
        let (head, incoming) = pending.response.into_parts();
        Self {
            in_flight,
            response_head,
            connection: pending.connection,
            head,
            incoming,
            blocks: Blocks::new(RESPONSES.reserve()),
            piece: Bytes::new(),
            size: 0,
        }
    }

    /// Reads the next piece; returns whether the body has ended. Cancel safe: no data is lost if the future is dropped.
    async fn advance(&mut self, shared: &Shared) -> Result<bool, Incomplete> {
        if self.piece.is_empty() {
            let Some(frame) = self.incoming.frame().await else {
                return Ok(true);
            };
            let frame = frame.map_err(|error| Incomplete::Broken(error.to_string()))?;
            self.piece = frame.into_data().unwrap_or_default();
            self.size += self.piece.len().max(MIN_PIECE_BYTES);
            if self.size > MAX_BODY_BYTES {
                return Err(Incomplete::Refused("response too large"));
            }
        }
        self.keep_piece(shared).await?;
        Ok(false)
    }

    /// Copies the piece into the blocks. The replica has run the request, so if there is no memory, slow readers of other
    /// responses are closed before the response is given up.
    async fn keep_piece(&mut self, shared: &Shared) -> Result<(), Incomplete> {
        loop {
            let mut rest = &*self.piece;
            let pushed = self.blocks.push_from(&mut rest);
            let left = rest.len();
            self.piece.advance(self.piece.len() - left);
            let Err(Exhausted) = pushed else {
                return Ok(());
            };
            let now = shared.now();
            if !shared.callers.close_slow_reader(now) {
                return Err(Incomplete::Refused("no memory for the response"));
            }
            let (used, max) = RESPONSES.usage();
            shared.limit_report.record(now, Limit::ResponseMemory, used, max);
            // The connection's task releases the memory.
            yield_now().await;
        }
    }

    /// Records that the response can't be read to its end.
    fn fail(self, incomplete: Incomplete) -> Failure {
        match incomplete {
            Incomplete::Broken(cause) => {
                self.in_flight.lose();
                Failure::new(DispatchError::Lost, cause)
            }
            Incomplete::Refused(cause) => {
                self.in_flight.end(DispatchOutcome::Failed);
                Failure::new(DispatchError::Lost, cause)
            }
        }
    }
}

/// Reads the response. An incomplete response, a switch to another protocol and an error of the replica are failures.
///
/// Load pattern: a replica stops in the middle of a response. If the request may be repeated, another replica is tried beside it.
/// The response that is complete first is used, or that of the other one as soon as it begins.
pub(super) async fn read(dispatch: &mut Dispatch, reply: Reply) -> Result<Response<Body>, Failure> {
    let reading = Reading::open(reply);
    if reading.head.status.is_informational() {
        let cause = format!("response with {}", reading.head.status);
        reading.in_flight.end(DispatchOutcome::Failed);
        return Err(Failure::new(DispatchError::Lost, cause));
    }
    dispatch.is_streaming = true;
    let read = read_body(dispatch, reading).await;
    dispatch.is_streaming = false;
    finish(dispatch, read?)
}

/// Reads the body to its end, or that of another replica if no byte comes.
async fn read_body(dispatch: &mut Dispatch, mut reading: Reading) -> Result<Reading, Failure> {
    let mut is_stalled = false;
    let mut late_since = None;
    loop {
        let left = dispatch.time_left();
        if left == Millis::ZERO {
            let now = dispatch.shared.now();
            if now.since(*late_since.get_or_insert(now)) > LATE_TIME {
                return Err(timed_out());
            }
        }
        // Bytes that are there need no timer, which would cost more than a small piece.
        match reading.advance(&dispatch.shared).now_or_never() {
            Some(Ok(true)) => break,
            Some(Ok(false)) => continue,
            Some(Err(incomplete)) => return Err(reading.fail(incomplete)),
            None => {}
        }
        let left = left.max(Millis(1));
        let limit = stall_timeout(dispatch, left, is_stalled);
        tokio::select! {
            biased;
            advanced = reading.advance(&dispatch.shared) => {
                match advanced {
                    Ok(true) => break,
                    // The other replica keeps the request: this one may stop again.
                    Ok(false) => {}
                    Err(incomplete) => return Err(reading.fail(incomplete)),
                }
            }
            (index, exchanged) = sent::first(&mut dispatch.sent), if is_stalled => {
                let sent = dispatch.sent.remove(index);
                match dispatch.accept(sent.in_flight, exchanged).and_then(check_usable) {
                    Ok(reply) => {
                        dispatch.leave(reading.in_flight, "response body stalled");
                        reading = Reading::open(reply);
                        is_stalled = false;
                    }
                    Err(AttemptError::Failed(failure)) => dispatch.record_lost_hedge(&failure),
                    Err(AttemptError::NoReplica(_)) => {}
                }
            }
            () = sleep(limit.as_duration()) => {
                if limit >= left {
                    return Err(timed_out());
                }
                if !is_stalled {
                    reading.in_flight.record_silence();
                }
                is_stalled = true;
                dispatch.hedge(None);
            }
        }
    }
    dispatch.target = reading.in_flight.target().clone();
    Ok(reading)
}

fn timed_out() -> Failure {
    Failure {
        timed_out: true,
        ..Failure::new(DispatchError::Lost, "response body timed out")
    }
}

/// How long to wait for the next byte.
fn stall_timeout(dispatch: &Dispatch, left: Millis, is_stalled: bool) -> Millis {
    if dispatch.attempts().denial_during_silence().is_some() {
        return left;
    }
    if is_stalled {
        return RETRY_INTERVAL.min(left);
    }
    MAX_STALL_TIMEOUT.min(Millis((left.0 as f64 * MAX_STALL_RATIO) as u64))
}

/// Records the end of a response that was read, and builds that for the caller.
fn finish(dispatch: &Dispatch, reading: Reading) -> Result<Response<Body>, Failure> {
    let shared = &dispatch.shared;
    let Reading {
        mut in_flight,
        response_head,
        connection,
        head,
        blocks,
        ..
    } = reading;
    if let Some(workspace) = dispatch.call.workspace() {
        shared.count_usage(&workspace.name, in_flight.sent());
    }
    let status = head.status;
    // A server error says something about the replica, a caller's mistake does not.
    in_flight.begin();
    in_flight.end(if status.is_server_error() {
        DispatchOutcome::Failed
    } else {
        DispatchOutcome::Answered
    });
    if !response_head.closes {
        shared.connections.put(connection, response_head.idle_timeout);
    }
    let response = build_response(status, head.headers, blocks);
    if status.is_server_error() || promises_not_run(status.as_u16()) {
        let error = DispatchError::Failed {
            status: status.as_u16(),
        };
        let forwarded = (!promises_not_run(status.as_u16())).then(|| Box::new(response));
        return Err(Failure {
            response: forwarded,
            ..Failure::new(error, format!("replica failed with {status}"))
        });
    }
    if status.is_success() && !response_head.signed {
        return Err(Failure::new(DispatchError::Lost, "response without signature"));
    }
    Ok(response)
}

/// Why a body was not read to its end.
#[derive(Debug)]
enum Incomplete {
    /// The replica broke off.
    Broken(String),
    /// It takes too much memory.
    Refused(&'static str),
}

fn build_response(status: StatusCode, mut headers: HeaderMap, blocks: Blocks) -> Response<Body> {
    strip_connection(&mut headers);
    let mut response = Response::new(body::blocks(blocks));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
