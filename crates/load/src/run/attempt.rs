//! A single call: sends the request to a node and reads the response to its end.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::Eventsource;
use fake::engine::completion::Token;
use futures::StreamExt;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_json::json;

use crate::history::{Content, End};
use crate::workload::Operation;
use crate::workload::operation::Question;

/// Amount of each top-up, in pence.
const TOP_UP_PENCE: i64 = 250;
/// Delay before a retry if the refusal does not specify one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Parameters of a call.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub client: &'a Client,
    pub node: SocketAddr,
    pub endpoint: &'a str,
    pub token: &'a str,
    pub call_id: &'a str,
    pub key: Option<&'a str>,
    pub operation: &'a Operation,
    /// Number of tokens already received; the stream resumes after them.
    pub resume_from: u32,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub end: End,
    pub content: Option<Content>,
    pub body: Option<String>,
    pub version: Option<String>,
    /// Tokens received by this call.
    pub tokens: u32,
    pub retry_after: Duration,
    /// Title of the problem document of a refusal, or else the HTTP status.
    pub reason: Option<String>,
}

impl Outcome {
    pub fn new(end: End) -> Self {
        Self {
            end,
            content: None,
            body: None,
            version: None,
            tokens: 0,
            retry_after: DEFAULT_RETRY_DELAY,
            reason: None,
        }
    }
}

/// Problem document of a refusal or of an interrupted stream.
#[derive(Debug, Deserialize)]
struct Problem {
    title: String,
    outcome: base::Outcome,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// The field of a service's response that identifies the request it belongs to.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Subject {
    Account { account: String },
    Path { path: String },
}

impl Attempt<'_> {
    /// Expected content of the complete answer.
    pub fn expected_content(&self) -> Content {
        match self.operation {
            Operation::TopUp { account } | Operation::Balance { account } => {
                single_content(&account_name(*account))
            }
            Operation::Post { path } => single_content(path),
            Operation::Question(question) => remaining_content(question, self.resume_from),
        }
    }

    /// Sends the call and reads the response. Calls `on_first` when the first token or the whole body has arrived.
    pub async fn send<F>(&self, on_first: F) -> Outcome
    where
        F: FnMut(),
    {
        let response = match self.request().send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Outcome::new(End::Unreached),
            Err(_) => return Outcome::new(End::Lost),
        };
        let version = header(&response, "bilberrylatch-version");
        let outcome = if !response.status().is_success() {
            read_refusal(response).await
        } else if let Operation::Question(question) = self.operation {
            self.read_stream(question, response, on_first).await
        } else {
            read_body(response, on_first).await
        };
        Outcome { version, ..outcome }
    }

    fn request(&self) -> RequestBuilder {
        let base = format!("http://{}/v1/endpoints/{}", self.node, self.endpoint);
        let request = match self.operation {
            Operation::TopUp { account } => {
                let body = json!({"account": account_name(*account), "amount": TOP_UP_PENCE});
                self.client.post(format!("{base}/topup")).json(&body)
            }
            Operation::Balance { account } => self
                .client
                .get(format!("{base}/balance/{}", account_name(*account))),
            Operation::Post { path } => self.client.post(format!("{base}{path}")).json(&json!({})),
            Operation::Question(question) => {
                let body = json!({"prompt": question.prompt(), "max_tokens": question.answer_tokens});
                self.client.post(format!("{base}/v1/completions")).json(&body)
            }
        };
        let mut request = request
            .bearer_auth(self.token)
            .header("bilberrylatch-request-id", self.call_id);
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key);
        }
        if self.resume_from > 0 {
            request = request.header("last-event-id", self.resume_from - 1);
        }
        request
    }

    async fn read_stream<F>(&self, question: &Question, response: Response, mut on_first: F) -> Outcome
    where
        F: FnMut(),
    {
        let mut events = response.bytes_stream().eventsource();
        let mut hash = blake3::Hasher::new();
        let mut outcome = Outcome::new(End::Lost);
        while let Some(Ok(event)) = events.next().await {
            match event.event.as_str() {
                "done" => {
                    outcome.end = End::Answered;
                    outcome.content = Some(Content {
                        parts: u64::from(outcome.tokens),
                        digest: hash.finalize().to_hex().to_string(),
                    });
                    return outcome;
                }
                "error" => return interrupted(outcome, &event.data),
                _ => {}
            }
            let Ok(token) = serde_json::from_str::<Token>(&event.data) else {
                continue;
            };
            if outcome.tokens == 0 {
                on_first();
            }
            outcome.tokens += 1;
            hash.update(token.token.as_bytes());
            if outcome.tokens > question.answer_tokens {
                break;
            }
        }
        outcome
    }
}

/// Sets the result of a stream that ended with an error event.
fn interrupted(outcome: Outcome, data: &str) -> Outcome {
    let Ok(problem) = serde_json::from_str::<Problem>(data) else {
        return outcome;
    };
    let retry_after = problem
        .retry_after_ms
        .map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
    let end = match problem.outcome {
        // The request did run in part if tokens were received.
        base::Outcome::NotRun if outcome.tokens == 0 => End::NotRun,
        base::Outcome::NotRun | base::Outcome::Unknown | base::Outcome::Answered => End::Unknown,
    };
    Outcome {
        end,
        retry_after,
        reason: Some(problem.title),
        ..outcome
    }
}

/// Reads a response with an error status.
pub async fn read_refusal(response: Response) -> Outcome {
    let seconds = header(&response, "retry-after").and_then(|text| text.parse().ok());
    let end = match header(&response, "bilberrylatch-outcome").as_deref() {
        Some("not-run") => End::NotRun,
        Some("unknown") => End::Unknown,
        Some(_) => End::Failed,
        None => End::Lost,
    };
    let status = response.status();
    let problem = response.json::<Problem>().await;
    Outcome {
        retry_after: seconds.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs),
        reason: Some(problem.map_or_else(|_| status.as_str().to_owned(), |problem| problem.title)),
        ..Outcome::new(end)
    }
}

async fn read_body<F>(response: Response, mut on_first: F) -> Outcome
where
    F: FnMut(),
{
    let Ok(body) = response.bytes().await else {
        return Outcome::new(End::Lost);
    };
    on_first();
    let content = match serde_json::from_slice::<Subject>(&body) {
        Ok(Subject::Account { account }) => single_content(&account),
        Ok(Subject::Path { path }) => single_content(&path),
        Err(_) => single_content("unreadable"),
    };
    Outcome {
        content: Some(content),
        body: Some(blake3::hash(&body).to_hex().to_string()),
        ..Outcome::new(End::Answered)
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn account_name(account: u32) -> String {
    format!("account-{account}")
}

fn single_content(subject: &str) -> Content {
    Content {
        parts: 1,
        digest: blake3::hash(subject.as_bytes()).to_hex().to_string(),
    }
}

fn remaining_content(question: &Question, resume_from: u32) -> Content {
    let text = fake::engine::token::text(&question.prompt(), resume_from, question.answer_tokens);
    Content {
        parts: u64::from(question.answer_tokens - resume_from.min(question.answer_tokens)),
        digest: blake3::hash(text.as_bytes()).to_hex().to_string(),
    }
}
