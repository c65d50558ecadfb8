//! One call: sent to one node, and read to its end.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::Eventsource;
use fake::engine::completion::Token;
use futures::StreamExt;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_json::json;

use crate::history::{Content, End};
use crate::workload::Ask;
use crate::workload::ask::Question;

/// Pence of each top-up.
const AMOUNT: i64 = 250;
/// Wait before another try when the refusal names none.
const DEFAULT_RETRY: Duration = Duration::from_millis(200);

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub client: &'a Client,
    pub node: SocketAddr,
    pub endpoint: &'a str,
    pub token: &'a str,
    pub call: &'a str,
    pub key: Option<&'a str>,
    pub ask: &'a Ask,
    /// Tokens that the caller has already.
    pub from: u32,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub struct Ended {
    pub end: End,
    pub content: Option<Content>,
    pub body: Option<String>,
    pub version: Option<String>,
    /// Tokens received by this call.
    pub tokens: u32,
    pub retry_after: Duration,
    /// Label of the refusal.
    pub reason: Option<String>,
}

impl Ended {
    pub fn new(end: End) -> Self {
        Self {
            end,
            content: None,
            body: None,
            version: None,
            tokens: 0,
            retry_after: DEFAULT_RETRY,
            reason: None,
        }
    }
}

/// The end of a stream that is not whole.
#[derive(Debug, Deserialize)]
struct Problem {
    title: String,
    outcome: base::Outcome,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// The part of an answer by a service that tells whose it is.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Whose {
    Account { account: String },
    Path { path: String },
}

impl Attempt<'_> {
    /// What the whole answer must hold.
    pub fn expects(&self) -> Content {
        match self.ask {
            Ask::TopUp { account } | Ask::Balance { account } => one(&account_name(*account)),
            Ask::Issue { path } => one(path),
            Ask::Question(question) => rest(question, self.from),
        }
    }

    /// Makes the call; `first` is told when the first part of the answer is there.
    pub async fn make<F>(&self, first: F) -> Ended
    where
        F: FnMut(),
    {
        let response = match self.request().send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Ended::new(End::Unreached),
            Err(_) => return Ended::new(End::Lost),
        };
        let version = header(&response, "bilberrylatch-version");
        let ended = if !response.status().is_success() {
            refused(response).await
        } else if let Ask::Question(question) = self.ask {
            self.read_stream(question, response, first).await
        } else {
            read_whole(response, first).await
        };
        Ended { version, ..ended }
    }

    fn request(&self) -> RequestBuilder {
        let base = format!("http://{}/v1/endpoints/{}", self.node, self.endpoint);
        let request = match self.ask {
            Ask::TopUp { account } => {
                let body = json!({"account": account_name(*account), "amount": AMOUNT});
                self.client.post(format!("{base}/topup")).json(&body)
            }
            Ask::Balance { account } => self
                .client
                .get(format!("{base}/balance/{}", account_name(*account))),
            Ask::Issue { path } => self.client.post(format!("{base}{path}")).json(&json!({})),
            Ask::Question(question) => {
                let body = json!({"prompt": question.prompt(), "max_tokens": question.answer_tokens});
                self.client.post(format!("{base}/v1/completions")).json(&body)
            }
        };
        let mut request = request
            .bearer_auth(self.token)
            .header("bilberrylatch-request-id", self.call);
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key);
        }
        if self.from > 0 {
            request = request.header("last-event-id", self.from - 1);
        }
        request
    }

    async fn read_stream<F>(&self, question: &Question, response: Response, mut first: F) -> Ended
    where
        F: FnMut(),
    {
        let mut events = response.bytes_stream().eventsource();
        let mut hash = blake3::Hasher::new();
        let mut ended = Ended::new(End::Lost);
        while let Some(Ok(event)) = events.next().await {
            match event.event.as_str() {
                "done" => {
                    ended.end = End::Answered;
                    ended.content = Some(Content {
                        parts: u64::from(ended.tokens),
                        digest: hash.finalize().to_hex().to_string(),
                    });
                    return ended;
                }
                "error" => return stopped(ended, &event.data),
                _ => {}
            }
            let Ok(token) = serde_json::from_str::<Token>(&event.data) else {
                continue;
            };
            if ended.tokens == 0 {
                first();
            }
            ended.tokens += 1;
            hash.update(token.token.as_bytes());
            if ended.tokens > question.answer_tokens {
                break;
            }
        }
        ended
    }
}

/// A stream that ends with a problem.
fn stopped(ended: Ended, data: &str) -> Ended {
    let Ok(problem) = serde_json::from_str::<Problem>(data) else {
        return ended;
    };
    let retry_after = problem
        .retry_after_ms
        .map_or(DEFAULT_RETRY, Duration::from_millis);
    let end = match problem.outcome {
        // A part of it did run, as tokens came.
        base::Outcome::NotRun if ended.tokens == 0 => End::NotRun,
        base::Outcome::NotRun | base::Outcome::Unknown | base::Outcome::Answered => End::Unknown,
    };
    Ended {
        end,
        retry_after,
        reason: Some(problem.title),
        ..ended
    }
}

/// A refusal with its reason.
pub async fn refused(response: Response) -> Ended {
    let seconds = header(&response, "retry-after").and_then(|text| text.parse().ok());
    let end = match header(&response, "bilberrylatch-outcome").as_deref() {
        Some("not-run") => End::NotRun,
        Some("unknown") => End::Unknown,
        Some(_) => End::Failed,
        None => End::Lost,
    };
    let status = response.status();
    let problem = response.json::<Problem>().await;
    Ended {
        retry_after: seconds.map_or(DEFAULT_RETRY, Duration::from_secs),
        reason: Some(problem.map_or_else(|_| status.as_str().to_owned(), |problem| problem.title)),
        ..Ended::new(end)
    }
}

async fn read_whole<F>(response: Response, mut first: F) -> Ended
where
    F: FnMut(),
{
    let Ok(body) = response.bytes().await else {
        return Ended::new(End::Lost);
    };
    first();
    let content = match serde_json::from_slice::<Whose>(&body) {
        Ok(Whose::Account { account }) => one(&account),
        Ok(Whose::Path { path }) => one(&path),
        Err(_) => one("unreadable"),
    };
    Ended {
        content: Some(content),
        body: Some(blake3::hash(&body).to_hex().to_string()),
        ..Ended::new(End::Answered)
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn account_name(account: u32) -> String {
    format!("account-{account}")
}

fn one(subject: &str) -> Content {
    Content {
        parts: 1,
        digest: blake3::hash(subject.as_bytes()).to_hex().to_string(),
    }
}

fn rest(question: &Question, from: u32) -> Content {
    let text = fake::engine::token::text(&question.prompt(), from, question.answer_tokens);
    Content {
        parts: u64::from(question.answer_tokens - from.min(question.answer_tokens)),
        digest: blake3::hash(text.as_bytes()).to_hex().to_string(),
    }
}
