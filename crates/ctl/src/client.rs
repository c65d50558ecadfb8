//! HTTP client for the admin API of the nodes.

use std::time::Duration;

use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends each call to the first of several nodes that accepts a connection.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    nodes: Vec<String>,
    token: String,
}

/// Body of an error answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    detail: String,
    node: Option<String>,
}

impl Client {
    /// Creates a client for the URLs `nodes`, which are tried in this order.
    pub fn new(nodes: Vec<String>, token: String) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .map_err(|error| Error::Usage(error.to_string()))?;
        Ok(Self { http, nodes, token })
    }

    /// Returns the client with `node` moved or added to the front of the list.
    pub fn with_preferred(mut self, node: String) -> Self {
        self.nodes.retain(|other| *other != node);
        self.nodes.insert(0, node);
        self
    }

    /// Sends a GET request and decodes the answer.
    pub async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.call(Method::GET, path, None).await
    }

    /// Sends a request with a body and decodes the answer.
    pub async fn send<T>(&self, method: Method, path: &str, body: String) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.call(method, path, Some(body)).await
    }

    async fn call<T>(&self, method: Method, path: &str, body: Option<String>) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut last_error = Error::Unreachable("no nodes given".to_owned());
        for node in &self.nodes {
            let mut request = self
                .http
                .request(method.clone(), format!("{node}{path}"))
                .bearer_auth(&self.token);
            if let Some(body) = &body {
                request = request
                    .header("content-type", "application/json")
                    .body(body.clone());
            }
            match send_request(request).await {
                Ok(response) => return decode(response).await,
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

/// Sends a request and classifies transport errors.
///
/// Only a failed connection is [`Error::Unreachable`], after which the caller tries the next node. A later failure
/// leaves the outcome unknown; commands carry their own ids, so they can be repeated to learn it.
async fn send_request(request: RequestBuilder) -> Result<Response, Error> {
    match request.send().await {
        Ok(response) => Ok(response),
        Err(error) if error.is_connect() => Err(Error::Unreachable(error.to_string())),
        Err(error) => Err(Error::Indeterminate(format!(
            "the node's answer was lost: {error}"
        ))),
    }
}

async fn decode<T>(response: Response) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let status = response.status();
    let body = response
        .bytes()
        .await
        .map_err(|error| Error::Indeterminate(error.to_string()))?;
    if status.is_success() {
        let decode_error = |error: serde_json::Error| Error::Refused {
            status: status.as_u16(),
            detail: error.to_string(),
        };
        return serde_json::from_slice(&body).map_err(decode_error);
    }
    let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
    Err(match status {
        StatusCode::CONFLICT => Error::Conflict(problem.detail),
        StatusCode::MISDIRECTED_REQUEST => Error::Misdirected(problem.node),
        StatusCode::GATEWAY_TIMEOUT => Error::Indeterminate(problem.detail),
        _ => Error::Refused {
            status: status.as_u16(),
            detail: problem.detail,
        },
    })
}
