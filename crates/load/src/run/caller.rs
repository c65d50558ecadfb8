//! A caller's request with its retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;

use super::attempt::{self, Attempt, Outcome};
use super::config::{self, Experiment};
use super::recorder::{Recorder, Sample};
use super::resolver::Resolver;
use crate::history::record::{Answer, Invoke};
use crate::history::{End, Record};
use crate::workload::{Arrival, Operation};

/// State shared by all callers.
#[derive(Debug)]
pub struct Callers {
    pub experiment: Experiment,
    pub client: Client,
    pub resolver: Resolver,
    pub recorder: Arc<Recorder>,
}

/// A request in progress.
#[derive(Debug)]
struct Request<'a> {
    callers: &'a Callers,
    arrival: &'a Arrival,
    number: usize,
    token: String,
    key: Option<String>,
    node: Option<SocketAddr>,
    /// Previous call, if its outcome is lost or unknown.
    retry_of: Option<String>,
    received_tokens: u32,
    call_count: u32,
    first_us: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct KeyResponse {
    key: String,
}

impl Callers {
    /// Processes one arrival until it succeeds or its attempts are exhausted.
    pub async fn handle(self: Arc<Self>, number: usize, arrival: Arrival) {
        let stream = &self.experiment.streams[arrival.stream];
        let mut request = Request {
            callers: &self,
            arrival: &arrival,
            number,
            token: workspace_token(&stream.workspace),
            key: None,
            node: None,
            retry_of: None,
            received_tokens: 0,
            call_count: 0,
            first_us: None,
        };
        let outcome = request.run().await;
        self.recorder.add_sample(Sample {
            stream: arrival.stream,
            due_us: arrival.due_us,
            first_us: request.first_us,
            end_us: self.recorder.now_us(),
            end: outcome.end,
            reason: outcome.reason,
            calls: request.call_count,
            tokens: u64::from(request.received_tokens),
            version: outcome.version,
        });
    }
}

/// Token that this tool uses for a workspace.
pub fn workspace_token(workspace: &str) -> String {
    format!("load-{workspace}")
}

impl Request<'_> {
    async fn run(&mut self) -> Outcome {
        let config::Caller { tries, .. } = self.callers.experiment.caller;
        let mut outcome = Outcome::new(End::Unreached);
        for _ in 0..tries {
            outcome = self.attempt().await;
            match outcome.end {
                End::Answered | End::Failed => return outcome,
                // A request that may have run is retried only if it is idempotent.
                End::Unknown if !self.idempotent() => return outcome,
                End::Unreached => self.callers.resolver.invalidate(self.endpoint()),
                End::Unknown | End::NotRun | End::Lost => tokio::time::sleep(outcome.retry_after).await,
            }
        }
        outcome
    }

    async fn attempt(&mut self) -> Outcome {
        let Some(node) = self.callers.resolver.pick(self.endpoint(), self.node).await else {
            return Outcome::new(End::Unreached);
        };
        self.node = Some(node);
        if !self.idempotent() && self.key.is_none() {
            match self.issue_key(node).await {
                Ok(key) => self.key = Some(key),
                Err(outcome) => return outcome,
            }
        }
        self.call_count += 1;
        let call = format!("c{}-{}", self.number, self.call_count);
        let outcome = self.call(node, &call).await;
        self.received_tokens += outcome.tokens;
        self.retry_of = matches!(outcome.end, End::Lost | End::Unknown).then_some(call);
        outcome
    }

    async fn call(&mut self, node: SocketAddr, call: &str) -> Outcome {
        let recorder = Arc::clone(&self.callers.recorder);
        let attempt = Attempt {
            client: &self.callers.client,
            node,
            endpoint: self.endpoint(),
            token: &self.token,
            call_id: call,
            key: self.key.as_deref(),
            operation: &self.arrival.operation,
            resume_from: self.received_tokens,
        };
        recorder.add_record(Record::Invoke(Invoke {
            at_us: recorder.now_us(),
            call: call.to_owned(),
            endpoint: attempt.endpoint.to_owned(),
            idempotent: self.idempotent(),
            key: self.key.clone(),
            retry_of: self.retry_of.clone(),
            expected: attempt.expected_content(),
        }));
        let mut first_us = None;
        let sent = attempt.send(|| first_us = Some(recorder.now_us()));
        let timeout = Duration::from_millis(self.callers.experiment.caller.timeout_ms);
        let sent = tokio::time::timeout(timeout, sent).await;
        let outcome = sent.unwrap_or_else(|_elapsed| Outcome::new(End::Lost));
        self.first_us = self.first_us.or(first_us);
        recorder.add_record(Record::Answer(Answer {
            at_us: recorder.now_us(),
            call: call.to_owned(),
            end: outcome.end,
            content: outcome.content.clone(),
            body: outcome.body.clone(),
        }));
        outcome
    }

    /// Obtains an idempotency key, or the reason for the failure. The request has not run in either case.
    async fn issue_key(&self, node: SocketAddr) -> Result<String, Outcome> {
        let url = format!("http://{node}/v1/endpoints/{}/keys", self.endpoint());
        let timeout = Duration::from_millis(self.callers.experiment.caller.timeout_ms);
        let request = self
            .callers
            .client
            .post(url)
            .bearer_auth(&self.token)
            .timeout(timeout);
        let response = request
            .send()
            .await
            .map_err(|_error| Outcome::new(End::Unreached))?;
        if !response.status().is_success() {
            let end = End::NotRun;
            return Err(Outcome {
                end,
                ..attempt::read_refusal(response).await
            });
        }
        let body = response.json::<KeyResponse>().await;
        body.map(|body| body.key)
            .map_err(|_error| Outcome::new(End::NotRun))
    }

    fn idempotent(&self) -> bool {
        match self.arrival.operation {
            Operation::TopUp { .. } | Operation::Post { .. } => false,
            Operation::Balance { .. } | Operation::Question(_) => true,
        }
    }

    fn endpoint(&self) -> &str {
        &self.callers.experiment.streams[self.arrival.stream].endpoint
    }
}
