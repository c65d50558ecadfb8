//! Calls to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use relay::{Answer, Query};
use tokio::time::timeout;

use super::{CHANGES_PATH, REPORTS_PATH};
use crate::Shared;
use crate::publish::Summary;
use crate::upstream::{self, Reply, SendError};

/// Timeout of a report, which the other node only keeps in memory.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

impl Shared {
    /// Asks another node for the store's changes. Returns the cause if there is no answer in time.
    pub async fn ask_peer(
        &self,
        address: SocketAddr,
        query: Query,
        limit: Duration,
    ) -> Result<Answer, String> {
        let body = postcard::to_stdvec(&query).map_err(|error| error.to_string())?;
        let reply = self.call_peer(address, CHANGES_PATH, body, limit).await?;
        postcard::from_bytes(&reply.body).map_err(|error| error.to_string())
    }

    /// Sends reports to another node, which writes them to the store.
    pub async fn submit_reports(&self, address: SocketAddr, summary: &Summary) -> Result<(), String> {
        let body = summary.encode().map_err(|error| error.to_string())?;
        let reply = self.call_peer(address, REPORTS_PATH, body, REPORT_TIMEOUT);
        reply.await.map(|_taken| ())
    }

    async fn call_peer(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, String> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(path);
        let name: Arc<str> = Arc::from(path);
        let call = upstream::call(&self.connections, &name, address, request);
        let reply = match timeout(limit, call).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(SendError::NotSent(cause) | SendError::Lost(cause))) => return Err(cause),
            Err(_elapsed) => return Err("no answer in time".to_owned()),
        };
        match reply.status {
            StatusCode::OK => Ok(reply),
            status => Err(format!("unexpected status {status}")),
        }
    }
}
