//! Sends requests on a connection.

use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;

use super::{Connection, RequestBody};

/// A response whose body has not been read, with its connection.
#[derive(Debug)]
pub struct PendingResponse {
    /// The connection.
    pub connection: Connection,
    /// The response.
    pub response: Response<Incoming>,
}

/// Why a request received no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have reached the replica.
    Lost(String),
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// This does not retry. If the replica has closed the connection, the request counts as not sent only if no byte of
    /// it was written.
    pub async fn send(self, request: Request<RequestBody>) -> Result<PendingResponse, SendError> {
        self.send_with(|| Ok(request)).await
    }

    /// Like [`Self::send`], with a request that is made once the connection can take it. The request is not sent if that
    /// fails; the error holds the cause.
    pub async fn send_with<F>(mut self, request: F) -> Result<PendingResponse, SendError>
    where
        F: FnOnce() -> Result<Request<RequestBody>, String>,
    {
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error.to_string()));
        }
        let request = request().map_err(SendError::NotSent)?;
        self.upload.set_active(!request.body().is_end_stream());
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(PendingResponse {
                connection: self,
                response,
            }),
            Err(mut error) => {
                let was_written = error.take_message().is_none();
                let cause = error.into_error().to_string();
                Err(if was_written {
                    SendError::Lost(cause)
                } else {
                    SendError::NotSent(cause)
                })
            }
        }
    }
}
