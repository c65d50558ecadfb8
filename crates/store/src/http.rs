//! Adapter to a key-value service with HTTP conditional requests (RFC 9110).

pub mod page;

use std::time::Duration;

use base::Revision;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderMap, StatusCode, header};
use reqwest::{RequestBuilder, Response};
use serde::{Deserialize, Serialize};

use crate::{Backend, Changes, Condition, Error, Lease, Listing, Record, Write};
use page::Page;

/// Header that binds a written record to a lease.
const LEASE_HEADER: &str = "bilberrylatch-lease";

/// Header that carries the id of a write, in requests and responses.
const WRITE_ID_HEADER: &str = "bilberrylatch-write-id";

/// Era of this service, which names none.
const NO_ERA: u64 = 0;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of a request for a new lease.
#[derive(Debug, Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

/// Body of the response to a [`LeaseRequest`].
#[derive(Debug, Deserialize)]
struct LeaseResponse {
    id: String,
}

/// Backend that calls the service at one base URL.
#[derive(Clone, Debug)]
pub struct Http {
    client: reqwest::Client,
    base_url: String,
}

impl Http {
    /// Creates an adapter to the service at `base_url`, for example `http://127.0.0.1:7100`.
    pub fn new<U>(base_url: U) -> Result<Self, Error>
    where
        U: Into<String>,
    {
        let client = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(Self {
            client,
            base_url: base_url.into(),
        })
    }

    /// Address of a record, whose key may hold any characters.
    fn record_url(&self, key: &str) -> Result<reqwest::Url, Error> {
        let url = format!("{}/v1/kv", self.base_url);
        let mut url = reqwest::Url::parse(&url).map_err(|error| Error::Invalid(format!("{url}: {error}")))?;
        let Ok(mut segments) = url.path_segments_mut() else {
            return Err(Error::Invalid(format!(
                "{} is no address of a service",
                self.base_url
            )));
        };
        segments.extend(key.split('/'));
        drop(segments);
        Ok(url)
    }

    fn lease_url(&self, lease: &Lease) -> String {
        format!("{}/v1/leases/{}", self.base_url, lease.id)
    }

    async fn get_record(&self, key: &str) -> Result<Option<Record>, Error> {
        let response = send(self.client.get(self.record_url(key)?), SideEffect::None).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(unexpected_status(status)),
        }
        let revision = etag_revision(response.headers()).ok_or_else(|| missing_header("ETag"))?;
        let write_id = header_text(response.headers(), WRITE_ID_HEADER);
        let value = read_body(response).await?;
        Ok(Some(Record {
            value,
            revision,
            write_id,
        }))
    }

    async fn list_page(&self, prefix: &str, after: &str, limit: usize) -> Result<Listing, Error> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", limit.as_str())];
        let url = self.url_with_query("/v1/kv", &query)?;
        let response = send(self.client.get(url), SideEffect::None).await?;
        if response.status() != StatusCode::OK {
            return Err(unexpected_status(response.status()));
        }
        Page::decode(&read_body(response).await?).map(Page::into_listing)
    }

    async fn write_record(&self, write: &Write) -> Result<Revision, Error> {
        if write.guard.is_some() {
            let cause = "the service has no writes that depend on another record";
            return Err(Error::Protocol(cause.to_owned()));
        }
        let url = self.record_url(&write.key)?;
        let mut request = match &write.value {
            Some(value) => self.client.put(url).body(value.clone()),
            None => self.client.delete(url),
        };
        request = request.header(WRITE_ID_HEADER, &write.id);
        request = match write.condition {
            Condition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Condition::Revision(revision) => {
                request.header(header::IF_MATCH, format!("\"{}\"", revision.number))
            }
            Condition::Any => request,
        };
        if let Some(lease) = &write.lease {
            request = request.header(LEASE_HEADER, &lease.id);
        }
        let response = send(request, SideEffect::Possible).await?;
        let revision = etag_revision(response.headers());
        match response.status() {
            status if status.is_success() => Ok(revision.unwrap_or_default()),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(revision)),
            StatusCode::NOT_FOUND if write.value.is_none() => Err(Error::Conflict(None)),
            StatusCode::NOT_FOUND | StatusCode::GONE if write.lease.is_some() => Err(Error::LeaseExpired),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge(write.value.as_ref().map_or(0, Bytes::len))),
            status => Err(unexpected_status(status)),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<Lease, Error> {
        let body = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        // If the response is lost, the granted lease expires on its own, so no cleanup is needed.
        let response = send(
            self.client
                .post(format!("{}/v1/leases", self.base_url))
                .json(&body),
            SideEffect::None,
        )
        .await?;
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        let granted: LeaseResponse = response
            .json()
            .await
            .map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(Lease {
            id: granted.id,
            era: NO_ERA,
        })
    }

    async fn update_lease(&self, request: RequestBuilder) -> Result<(), Error> {
        let response = send(request, SideEffect::None).await?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(Error::LeaseExpired),
            status => Err(unexpected_status(status)),
        }
    }

    async fn watch_changes(
        &self,
        prefix: &str,
        revision: Revision,
        timeout: Duration,
    ) -> Result<Changes, Error> {
        let after = revision.number.to_string();
        let timeout_ms = timeout.as_millis().to_string();
        let query = [
            ("prefix", prefix),
            ("after", after.as_str()),
            ("timeout_ms", timeout_ms.as_str()),
        ];
        let url = self.url_with_query("/v1/watch", &query)?;
        let response = send(self.client.get(url), SideEffect::None).await?;
        match response.status() {
            StatusCode::OK => Page::decode(&read_body(response).await?).map(Page::into_changes),
            StatusCode::GONE => Err(Error::HistoryGone),
            status => Err(unexpected_status(status)),
        }
    }

    fn url_with_query(&self, path: &str, query: &[(&str, &str)]) -> Result<reqwest::Url, Error> {
        let url = format!("{}{path}", self.base_url);
        reqwest::Url::parse_with_params(&url, query).map_err(|error| Error::Invalid(error.to_string()))
    }
}

impl Backend for Http {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, Error>> {
        self.get_record(key).boxed()
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Listing, Error>> {
        self.list_page(prefix, after, limit).boxed()
    }

    fn write<'a>(&'a self, write: &'a Write) -> BoxFuture<'a, Result<Revision, Error>> {
        self.write_record(write).boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease, Error>> {
        self.grant_lease(ttl).boxed()
    }

    fn renew<'a>(&'a self, lease: &'a Lease) -> BoxFuture<'a, Result<(), Error>> {
        self.update_lease(self.client.put(self.lease_url(lease))).boxed()
    }

    fn revoke<'a>(&'a self, lease: &'a Lease) -> BoxFuture<'a, Result<(), Error>> {
        self.update_lease(self.client.delete(self.lease_url(lease)))
            .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: Revision,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Changes, Error>> {
        self.watch_changes(prefix, revision, timeout).boxed()
    }
}

/// Whether a call whose response is lost may have had an effect that matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideEffect {
    None,
    Possible,
}

async fn send(request: RequestBuilder, side_effect: SideEffect) -> Result<Response, Error> {
    match request.send().await {
        Ok(response) => match response.status() {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unavailable(response.status().to_string()))
            }
            _ => Ok(response),
        },
        Err(error) if error.is_connect() || side_effect == SideEffect::None => {
            Err(Error::Unavailable(error.to_string()))
        }
        Err(error) => Err(Error::Indeterminate(error.to_string())),
    }
}

async fn read_body(response: Response) -> Result<Bytes, Error> {
    response
        .bytes()
        .await
        .map_err(|error| Error::Unavailable(error.to_string()))
}

fn etag_revision(headers: &HeaderMap) -> Option<Revision> {
    let value = headers.get(header::ETAG)?.to_str().ok()?;
    let number = value.trim_matches('"').parse().ok()?;
    Some(Revision::new(NO_ERA, number))
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn missing_header(name: &str) -> Error {
    Error::Protocol(format!("the answer has no {name}"))
}

fn unexpected_status(status: StatusCode) -> Error {
    Error::Protocol(format!("status {status}"))
}
