//! Communication with peers: gossip, evidence, forwarded requests and handovers.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Millis, Name, Outcome};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use route::arrival::Priority;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::head::Header;
use wire::{Channel, Frame, Head, Incoming, Request};

use super::Problem;
use super::keyed::{self, Reply};
use crate::actor::claims::Import;
use crate::actor::members::Gossiped;
use crate::actor::rollouts::Report;
use crate::dispatch::header::{OUTCOME, VERSION};
use crate::dispatch::{Answer, Outgoing, header};
use crate::shared::Shared;

/// Maximum number of body bytes in a frame.
const DATA_BYTES: usize = 256 * 1024;

/// Interval between keepalive frames while a peer's request is in progress here.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a frame after which a peer counts as failed.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to wait for a peer's answer beyond the request's deadline.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Handles frames and channels from peers until the transport is closed.
pub async fn serve(shared: Shared, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(incoming) = incoming.recv().await {
        match incoming {
            Incoming::Frame {
                frame: Frame::Gossip(bytes),
                ..
            } => {
                let _gone = shared.members.tell(Gossiped(bytes)).await;
            }
            Incoming::Frame {
                frame: Frame::Evidence(bytes),
                ..
            } => {
                let _gone = shared.rollouts.tell(Report(bytes)).await;
            }
            Incoming::Frame { from, .. } => log::warn!("dropped a frame from {from} that requires a channel"),
            Incoming::Channel { from, channel } => {
                tokio::spawn(exchange(shared.clone(), from, channel));
            }
        }
    }
}

async fn exchange(shared: Shared, from: SocketAddr, mut channel: Channel) {
    let result = match channel.receive().await {
        Ok(Frame::Forward(call)) => serve_forwarded(&shared, call, &mut channel).await,
        Ok(Frame::Handover(bytes)) => receive_handover(&shared, &bytes, &mut channel).await,
        Ok(_other) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        log::warn!("exchange with {from} failed: {error}");
    }
}

async fn receive_handover(shared: &Shared, bytes: &Bytes, channel: &mut Channel) -> Result<(), wire::Error> {
    let piece = wire::decode(bytes)?;
    let _gone = shared.claims.tell(Import(piece)).await;
    channel.send(&Frame::Accepted).await?;
    channel.finish()?;
    channel.wait_acknowledged().await;
    Ok(())
}

async fn serve_forwarded(shared: &Shared, call: Request, channel: &mut Channel) -> Result<(), wire::Error> {
    // Sent immediately, so that the sender knows that this node is alive.
    channel.send(&Frame::Accepted).await?;
    let outgoing = outgoing(shared, call);
    let reply = complete(shared, outgoing, channel).await?;
    let (head, body) = match reply {
        Reply::Answered(answer) => (answer_head(&answer), answer.body),
        Reply::Refused(problem) => (problem_head(&problem), Bytes::from(problem.to_json())),
    };
    channel.send(&Frame::Head(head)).await?;
    for start in (0..body.len()).step_by(DATA_BYTES) {
        let end = body.len().min(start + DATA_BYTES);
        channel.send(&Frame::Data(body.slice(start..end))).await?;
    }
    channel.send(&Frame::End).await?;
    channel.finish()?;
    channel.wait_acknowledged().await;
    Ok(())
}

/// Completes the request, and sends keepalive frames meanwhile so that the sender can detect a frozen node.
async fn complete(shared: &Shared, outgoing: Outgoing, channel: &mut Channel) -> Result<Reply, wire::Error> {
    let mut pending = std::pin::pin!(keyed::complete(shared, outgoing));
    loop {
        match timeout(KEEPALIVE_INTERVAL, &mut pending).await {
            Ok(reply) => return Ok(reply),
            Err(_elapsed) => channel.send(&Frame::Accepted).await?,
        }
    }
}

fn outgoing(shared: &Shared, call: Request) -> Outgoing {
    let remaining = Millis(call.remaining_ms);
    Outgoing {
        request_id: call.request_id,
        workspace: Name::from(call.workspace),
        endpoint: Name::from(call.endpoint),
        route: Name::from(call.route),
        method: Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::POST),
        path: call.path,
        headers: call.headers.iter().filter_map(from_wire_header).collect(),
        body: call.body,
        idempotent: false,
        stream: false,
        key: Some(call.idempotency_key),
        forwarded: true,
        delivered: 0,
        priority: Priority::Normal,
        deadline: shared.clock.now() + remaining,
        idle: remaining.as_duration(),
    }
}

/// Forwards a request to the peer responsible for its key, and reads the complete answer.
pub async fn forward(shared: &Shared, outgoing: &Outgoing, peer: SocketAddr) -> Result<Reply, wire::Error> {
    metrics::counter!("bilberrylatch_forwards_total").increment(1);
    let remaining = outgoing.deadline.since(shared.clock.now());
    let call = Request {
        request_id: outgoing.request_id.clone(),
        workspace: outgoing.workspace.to_string(),
        endpoint: outgoing.endpoint.to_string(),
        route: outgoing.route.to_string(),
        method: outgoing.method.to_string(),
        path: outgoing.path.clone(),
        headers: outgoing.headers.iter().map(to_wire_header).collect(),
        idempotency_key: outgoing.key.clone().unwrap_or_default(),
        body: outgoing.body.clone(),
        remaining_ms: remaining.0,
    };
    let exchange = async {
        let mut channel = shared.peers.open(peer).await?;
        channel.send(&Frame::Forward(call)).await?;
        channel.finish()?;
        collect(&mut channel).await
    };
    let result = timeout(remaining.as_duration() + ANSWER_MARGIN, exchange).await;
    result.unwrap_or_else(|_elapsed| Err(wire::Error::ConnectionLost("no answer in time".to_owned())))
}

/// Receives the next frame. A peer that is gone or frozen is detected by the timeout.
async fn receive(channel: &mut Channel) -> Result<Frame, wire::Error> {
    let timed_out = |_elapsed| {
        Err(wire::Error::ConnectionLost(
            "no frame from the peer in time".to_owned(),
        ))
    };
    timeout(PEER_TIMEOUT, channel.receive())
        .await
        .unwrap_or_else(timed_out)
}

async fn collect(channel: &mut Channel) -> Result<Reply, wire::Error> {
    let head = loop {
        match receive(channel).await? {
            Frame::Accepted => {}
            Frame::Head(head) => break head,
            _other => {
                return Err(wire::Error::Malformed(
                    "expected the head of an answer".to_owned(),
                ));
            }
        }
    };
    let mut body = bytes::BytesMut::new();
    loop {
        match receive(channel).await? {
            Frame::Data(data) => body.extend_from_slice(&data),
            Frame::End => return Ok(reply(&head, body.freeze())),
            _other => {
                return Err(wire::Error::Malformed(
                    "expected data or the end of an answer".to_owned(),
                ));
            }
        }
    }
}

/// Converts the peer's answer, whatever its outcome.
fn reply(head: &Head, body: Bytes) -> Reply {
    let headers: HeaderMap = head.headers.iter().filter_map(from_wire_header).collect();
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let version = header::text(&headers, &VERSION).map(Name::from);
    match header::text(&headers, &OUTCOME).as_deref() {
        Some("answered") => Reply::Answered(Answer {
            status,
            headers,
            body,
            version,
        }),
        outcome => {
            let outcome = if outcome == Some("not-run") {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            };
            Reply::Refused(refused(status, outcome, &headers, &body))
        }
    }
}

fn refused(status: StatusCode, outcome: Outcome, headers: &HeaderMap, body: &Bytes) -> Problem {
    let text: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let detail = text
        .get("detail")
        .and_then(serde_json::Value::as_str)
        .unwrap_or("refused by the key's node");
    let label = text
        .get("title")
        .and_then(serde_json::Value::as_str)
        .unwrap_or("refused-at-home");
    let problem = Problem::new(status, label.to_owned(), detail).with_outcome(outcome);
    match header::text(headers, &http::header::RETRY_AFTER).and_then(|text| text.parse().ok()) {
        Some(seconds) => problem.with_retry_after(Millis::from_secs(seconds)),
        None => problem,
    }
}

fn answer_head(answer: &Answer) -> Head {
    let mut headers: Vec<Header> = answer.headers.iter().map(to_wire_header).collect();
    headers.push(wire_header(&OUTCOME, Outcome::Answered.as_str()));
    if let Some(version) = &answer.version {
        headers.push(wire_header(&VERSION, version.as_str()));
    }
    Head {
        status: answer.status.as_u16(),
        headers,
    }
}

fn problem_head(problem: &Problem) -> Head {
    let mut headers = vec![wire_header(&OUTCOME, problem.outcome.as_str())];
    if let Some(span) = problem.retry_after {
        headers.push(wire_header(
            &http::header::RETRY_AFTER,
            &span.as_secs_ceil().to_string(),
        ));
    }
    Head {
        status: problem.status.as_u16(),
        headers,
    }
}

fn wire_header(name: &HeaderName, value: &str) -> Header {
    Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

fn to_wire_header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

fn from_wire_header(header: &Header) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
    let value = HeaderValue::from_bytes(&header.value).ok()?;
    Some((name, value))
}
