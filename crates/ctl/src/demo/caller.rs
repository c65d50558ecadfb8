//! Callers of the demo: send streams and top-ups alternately and verify each answer.

use eventsource_stream::Eventsource;
use fake::engine::token;
use futures::StreamExt;
use reqwest::{Client, Response};
use serde::Deserialize;

use super::counts::Counts;
use super::deployment::{Deployment, WORKSPACE_TOKEN};
use crate::Error;

/// Number of tokens of each stream.
const TOKENS_PER_STREAM: u32 = 16;

/// Maximum number of concurrent requests.
const CONCURRENCY: usize = 16;

/// Amount of each top-up, in pence.
const TOP_UP_AMOUNT: i64 = 250;

/// Answer to a request for an idempotency key.
#[derive(Debug, Deserialize)]
struct IssuedKey {
    key: String,
}

/// Answer of the ledger to a top-up.
#[derive(Debug, Deserialize)]
struct Balance {
    account: String,
    balance: i64,
}

/// Sends `requests` requests, up to [`CONCURRENCY`] at a time, and counts how they ended.
pub async fn run(deployment: &Deployment, requests: usize) -> Result<Counts, Error> {
    let client = Client::builder()
        .no_proxy()
        .build()
        .map_err(|error| Error::Demo(error.to_string()))?;
    let urls = deployment.urls();
    let calls = (0..requests).map(|index| send_one(client.clone(), urls[index % urls.len()].clone(), index));
    let mut counts = Counts::default();
    let mut outcomes = futures::stream::iter(calls).buffer_unordered(CONCURRENCY);
    while let Some(outcome) = outcomes.next().await {
        counts.add(outcome);
    }
    Ok(counts)
}

async fn send_one(client: Client, url: String, index: usize) -> Counts {
    let result = if index.is_multiple_of(2) {
        stream(&client, &url, index).await
    } else {
        top_up(&client, &url, index).await
    };
    result.unwrap_or_else(|error| {
        eprintln!("request {index}: {error}");
        Counts {
            unanswered: 1,
            ..Counts::default()
        }
    })
}

async fn stream(client: &Client, url: &str, index: usize) -> Result<Counts, reqwest::Error> {
    let prompt = format!("demo prompt {index}");
    let body = format!("{{\"prompt\":\"{prompt}\",\"max_tokens\":{TOKENS_PER_STREAM}}}");
    let response = client
        .post(format!("{url}/v1/endpoints/assistant/v1/completions"))
        .bearer_auth(WORKSPACE_TOKEN)
        .body(body)
        .send()
        .await?;
    if !response.status().is_success() {
        return Ok(classify_refusal(&response));
    }
    let mut events = response.bytes_stream().eventsource();
    let mut next = 0;
    while let Some(Ok(event)) = events.next().await {
        match event.event.as_str() {
            "done" if next == TOKENS_PER_STREAM => {
                return Ok(Counts {
                    answered: 1,
                    ..Counts::default()
                });
            }
            "error" => {
                return Ok(Counts {
                    unknown: 1,
                    ..Counts::default()
                });
            }
            _token => {}
        }
        let expected = fake::engine::completion::Token {
            token: token(&prompt, next),
        };
        let is_correct = serde_json::from_str(&event.data)
            .is_ok_and(|actual: fake::engine::completion::Token| actual == expected);
        if !is_correct {
            return Ok(Counts {
                wrong: 1,
                ..Counts::default()
            });
        }
        next += 1;
    }
    Ok(Counts {
        wrong: 1,
        ..Counts::default()
    })
}

async fn top_up(client: &Client, url: &str, index: usize) -> Result<Counts, reqwest::Error> {
    let issued = client
        .post(format!("{url}/v1/endpoints/ledger/keys"))
        .bearer_auth(WORKSPACE_TOKEN)
        .send()
        .await?;
    if !issued.status().is_success() {
        return Ok(classify_refusal(&issued));
    }
    let issued: IssuedKey = issued.json().await?;
    let account = format!("pupil-{index}");
    let response = client
        .post(format!("{url}/v1/endpoints/ledger/topup"))
        .bearer_auth(WORKSPACE_TOKEN)
        .header("idempotency-key", issued.key)
        .body(format!(
            "{{\"account\":\"{account}\",\"amount\":{TOP_UP_AMOUNT}}}"
        ))
        .send()
        .await?;
    if !response.status().is_success() {
        return Ok(classify_refusal(&response));
    }
    let balance: Balance = response.json().await?;
    let is_correct = balance.account == account && balance.balance == TOP_UP_AMOUNT;
    Ok(if is_correct {
        Counts {
            answered: 1,
            ..Counts::default()
        }
    } else {
        Counts {
            wrong: 1,
            ..Counts::default()
        }
    })
}

fn classify_refusal(response: &Response) -> Counts {
    match response
        .headers()
        .get("bilberrylatch-outcome")
        .and_then(|value| value.to_str().ok())
    {
        Some("not-run") => Counts {
            refused: 1,
            ..Counts::default()
        },
        Some(_other) => Counts {
            unknown: 1,
            ..Counts::default()
        },
        None => Counts {
            unanswered: 1,
            ..Counts::default()
        },
    }
}
