//! One request of a caller, over as many calls as it takes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;

use super::addresses::Addresses;
use super::attempt::{self, Attempt, Ended};
use super::config::{self, Experiment};
use super::recorder::{Recorder, Sample};
use crate::history::record::{Answer, Invoke};
use crate::history::{End, Record};
use crate::workload::{Arrival, Ask};

/// What all callers share.
#[derive(Debug)]
pub struct Callers {
    pub experiment: Experiment,
    pub client: Client,
    pub addresses: Addresses,
    pub recorder: Arc<Recorder>,
}

/// A request under way.
#[derive(Debug)]
struct Request<'a> {
    callers: &'a Callers,
    arrival: &'a Arrival,
    number: usize,
    token: String,
    key: Option<String>,
    node: Option<SocketAddr>,
    /// Call before, if its end is not stated.
    retry_of: Option<String>,
    from: u32,
    calls: u32,
    first_us: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Issued {
    key: String,
}

impl Callers {
    /// Sees one arrival through.
    pub async fn serve(self: Arc<Self>, number: usize, arrival: Arrival) {
        let stream = &self.experiment.streams[arrival.stream];
        let mut request = Request {
            callers: &self,
            arrival: &arrival,
            number,
            token: token(&stream.workspace),
            key: None,
            node: None,
            retry_of: None,
            from: 0,
            calls: 0,
            first_us: None,
        };
        let ended = request.run().await;
        self.recorder.sample(Sample {
            stream: arrival.stream,
            due_us: arrival.at_us,
            first_us: request.first_us,
            end_us: self.recorder.now_us(),
            end: ended.end,
            reason: ended.reason,
            calls: request.calls,
            tokens: u64::from(request.from),
            version: ended.version,
        });
    }
}

/// The tool's token of a workspace.
pub fn token(workspace: &str) -> String {
    format!("load-{workspace}")
}

impl Request<'_> {
    async fn run(&mut self) -> Ended {
        let config::Caller { tries, .. } = self.callers.experiment.caller;
        let mut ended = Ended::new(End::Unreached);
        for _ in 0..tries {
            ended = self.attempt().await;
            match ended.end {
                End::Answered | End::Failed => return ended,
                // A request that may have run is only repeated if that does no harm.
                End::Unknown if !self.idempotent() => return ended,
                End::Unreached => self.callers.addresses.forget(self.endpoint()),
                End::Unknown | End::NotRun | End::Lost => tokio::time::sleep(ended.retry_after).await,
            }
        }
        ended
    }

    async fn attempt(&mut self) -> Ended {
        let Some(node) = self.callers.addresses.pick(self.endpoint(), self.node).await else {
            return Ended::new(End::Unreached);
        };
        self.node = Some(node);
        if !self.idempotent() && self.key.is_none() {
            match self.issue(node).await {
                Ok(key) => self.key = Some(key),
                Err(ended) => return ended,
            }
        }
        self.calls += 1;
        let call = format!("c{}-{}", self.number, self.calls);
        let ended = self.call(node, &call).await;
        self.from += ended.tokens;
        self.retry_of = matches!(ended.end, End::Lost | End::Unknown).then_some(call);
        ended
    }

    async fn call(&mut self, node: SocketAddr, call: &str) -> Ended {
        let recorder = Arc::clone(&self.callers.recorder);
        let attempt = Attempt {
            client: &self.callers.client,
            node,
            endpoint: self.endpoint(),
            token: &self.token,
            call,
            key: self.key.as_deref(),
            ask: &self.arrival.ask,
            from: self.from,
        };
        recorder.record(Record::Invoke(Invoke {
            at_us: recorder.now_us(),
            call: call.to_owned(),
            endpoint: attempt.endpoint.to_owned(),
            idempotent: self.idempotent(),
            key: self.key.clone(),
            retry_of: self.retry_of.clone(),
            expected: attempt.expects(),
        }));
        let mut first_us = None;
        let made = attempt.make(|| first_us = Some(recorder.now_us()));
        let timeout = Duration::from_millis(self.callers.experiment.caller.timeout_ms);
        let made = tokio::time::timeout(timeout, made).await;
        let ended = made.unwrap_or_else(|_elapsed| Ended::new(End::Lost));
        self.first_us = self.first_us.or(first_us);
        recorder.record(Record::Answer(Answer {
            at_us: recorder.now_us(),
            call: call.to_owned(),
            end: ended.end,
            content: ended.content.clone(),
            body: ended.body.clone(),
        }));
        ended
    }

    /// A key, or why there is none; nothing ran either way.
    async fn issue(&self, node: SocketAddr) -> Result<String, Ended> {
        let url = format!("http://{node}/v1/endpoints/{}/keys", self.endpoint());
        let timeout = Duration::from_millis(self.callers.experiment.caller.timeout_ms);
        let asked = self
            .callers
            .client
            .post(url)
            .bearer_auth(&self.token)
            .timeout(timeout);
        let response = asked.send().await.map_err(|_error| Ended::new(End::Unreached))?;
        if !response.status().is_success() {
            let end = End::NotRun;
            return Err(Ended {
                end,
                ..attempt::refused(response).await
            });
        }
        let issued = response.json::<Issued>().await;
        issued
            .map(|issued| issued.key)
            .map_err(|_error| Ended::new(End::NotRun))
    }

    fn idempotent(&self) -> bool {
        match self.arrival.ask {
            Ask::TopUp { .. } | Ask::Issue { .. } => false,
            Ask::Balance { .. } | Ask::Question(_) => true,
        }
    }

    fn endpoint(&self) -> &str {
        &self.callers.experiment.streams[self.arrival.stream].endpoint
    }
}
