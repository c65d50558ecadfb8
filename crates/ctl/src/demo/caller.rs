//! The demo's callers: streams and top-ups in turn, every byte of each answer checked.

use eventsource_stream::Eventsource;
use fake::engine::token;
use futures::StreamExt;
use reqwest::{Client, Response};
use serde::Deserialize;

use super::deployment::{Deployment, WORKSPACE_TOKEN};
use super::tally::Tally;
use crate::Error;

/// Tokens of each stream.
const TOKENS: u32 = 16;

/// Requests under way at once.
const CONCURRENCY: usize = 16;

/// Pence of each top-up.
const AMOUNT: i64 = 250;

/// The answer to a request for a key.
#[derive(Debug, Deserialize)]
struct Issued {
    key: String,
}

/// The ledger's answer.
#[derive(Debug, Deserialize)]
struct Balance {
    account: String,
    balance: i64,
}

/// Sends `requests`, several at once.
pub async fn run(deployment: &Deployment, requests: usize) -> Result<Tally, Error> {
    let client = Client::builder()
        .no_proxy()
        .build()
        .map_err(|error| Error::Demo(error.to_string()))?;
    let urls = deployment.urls();
    let calls = (0..requests).map(|index| one(client.clone(), urls[index % urls.len()].clone(), index));
    let mut tally = Tally::default();
    let mut ended = futures::stream::iter(calls).buffer_unordered(CONCURRENCY);
    while let Some(one) = ended.next().await {
        tally.add(one);
    }
    Ok(tally)
}

async fn one(client: Client, url: String, index: usize) -> Tally {
    let result = if index.is_multiple_of(2) {
        stream(&client, &url, index).await
    } else {
        top_up(&client, &url, index).await
    };
    result.unwrap_or_else(|error| {
        eprintln!("request {index}: {error}");
        Tally {
            unanswered: 1,
            ..Tally::default()
        }
    })
}

async fn stream(client: &Client, url: &str, index: usize) -> Result<Tally, reqwest::Error> {
    let prompt = format!("demo prompt {index}");
    let body = format!("{{\"prompt\":\"{prompt}\",\"max_tokens\":{TOKENS}}}");
    let response = client
        .post(format!("{url}/v1/endpoints/assistant/v1/completions"))
        .bearer_auth(WORKSPACE_TOKEN)
        .body(body)
        .send()
        .await?;
    if !response.status().is_success() {
        return Ok(refused(&response));
    }
    let mut events = response.bytes_stream().eventsource();
    let mut next = 0;
    while let Some(Ok(event)) = events.next().await {
        match event.event.as_str() {
            "done" if next == TOKENS => {
                return Ok(Tally {
                    answered: 1,
                    ..Tally::default()
                });
            }
            "error" => {
                return Ok(Tally {
                    unknown: 1,
                    ..Tally::default()
                });
            }
            _token => {}
        }
        let wanted = fake::engine::completion::Token {
            token: token(&prompt, next),
        };
        let right = serde_json::from_str(&event.data)
            .is_ok_and(|found: fake::engine::completion::Token| found == wanted);
        if !right {
            return Ok(Tally {
                wrong: 1,
                ..Tally::default()
            });
        }
        next += 1;
    }
    Ok(Tally {
        wrong: 1,
        ..Tally::default()
    })
}

async fn top_up(client: &Client, url: &str, index: usize) -> Result<Tally, reqwest::Error> {
    let issued = client
        .post(format!("{url}/v1/endpoints/ledger/keys"))
        .bearer_auth(WORKSPACE_TOKEN)
        .send()
        .await?;
    if !issued.status().is_success() {
        return Ok(refused(&issued));
    }
    let issued: Issued = issued.json().await?;
    let account = format!("pupil-{index}");
    let response = client
        .post(format!("{url}/v1/endpoints/ledger/topup"))
        .bearer_auth(WORKSPACE_TOKEN)
        .header("idempotency-key", issued.key)
        .body(format!("{{\"account\":\"{account}\",\"amount\":{AMOUNT}}}"))
        .send()
        .await?;
    if !response.status().is_success() {
        return Ok(refused(&response));
    }
    let balance: Balance = response.json().await?;
    let right = balance.account == account && balance.balance == AMOUNT;
    Ok(if right {
        Tally {
            answered: 1,
            ..Tally::default()
        }
    } else {
        Tally {
            wrong: 1,
            ..Tally::default()
        }
    })
}

fn refused(response: &Response) -> Tally {
    match response
        .headers()
        .get("bilberrylatch-outcome")
        .and_then(|value| value.to_str().ok())
    {
        Some("not-run") => Tally {
            refused: 1,
            ..Tally::default()
        },
        Some(_other) => Tally {
            unknown: 1,
            ..Tally::default()
        },
        None => Tally {
            unanswered: 1,
            ..Tally::default()
        },
    }
}
