//! Accepts and serves connections.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};

use super::activity::{Activity, Tracked};
use super::body::{self, Body};
use super::caller_stream::CallerStream;
use super::linger::linger;
use super::{directory, proxy};
use crate::intake::{Address, Closed, Limit, Roster, Seat};
use crate::lifecycle::Phase;
use crate::net::Liveness;
use crate::{Error, Shared, exchange};

/// Callers are farther away than replicas, and a slow detection delays nothing else.
const LIVENESS: Liveness = Liveness {
    unacknowledged: Duration::from_secs(3),
    probe: Duration::from_secs(5),
};
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time to read requests that have arrived before idle connections are closed. Closing a connection with an unread request
/// resets it, and its caller can't know whether the request was run.
const ARRIVAL_TIME: Duration = Duration::from_millis(20);
/// Maximum number of connections that the kernel accepts ahead of the process.
const ACCEPT_QUEUE: usize = 1_024;

/// The service provided at an address.
#[derive(Clone, Debug)]
pub enum Service {
    /// Proxies requests to replicas.
    Proxy,
    /// Address lookups.
    Directory,
    /// Readiness checks.
    Ready,
    /// Calls of other nodes.
    Peers,
    /// Metrics.
    Metrics(PrometheusHandle),
}

impl Service {
    const fn address(&self) -> Address {
        match self {
            Self::Proxy => Address::Front,
            Self::Directory => Address::Directory,
            Self::Ready => Address::Ready,
            Self::Peers => Address::Peers,
            Self::Metrics(_) => Address::Metrics,
        }
    }
}

/// A bound address.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    origin: Origin,
}

/// What serves the connections to an address.
#[derive(Debug)]
struct Origin {
    service: Service,
    roster: Arc<Roster>,
    shared: Arc<Shared>,
}

impl Listener {
    /// Binds an address.
    pub async fn bind(shared: Arc<Shared>, address: SocketAddr, service: Service) -> Result<Self, Error> {
        let socket = TcpListener::bind(address)
            .await
            .map_err(|cause| Error::Listen { address, cause })?;
        let roster = match service.address() {
            Address::Front => Arc::clone(&shared.callers),
            other => Arc::new(Roster::new(other)),
        };
        let origin = Origin {
            service,
            roster,
            shared,
        };
        Ok(Self { socket, origin })
    }

    /// Accepts connections until the node stops.
    pub async fn run(self) {
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, caller)) => self.origin.serve(stream, caller.ip()),
                    Err(error) => {
                        log::warn!(cause:% = error; "failed to accept a connection");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = self.origin.shared.lifecycle.reached(Phase::Ended) => return self.serve_queued(),
            }
        }
    }

    /// Serves the connections that the kernel has accepted already, which closing the listener would reset. Their requests
    /// are refused, so that their callers know that they were not run.
    fn serve_queued(self) {
        let queue = match self.socket.into_std() {
            Ok(queue) => queue,
            Err(error) => {
                log::warn!(cause:% = error; "failed to serve the last connections");
                return;
            }
        };
        // The runtime learns of new connections with some delay, so the kernel is asked.
        for _connection in 0..ACCEPT_QUEUE {
            let Ok((stream, caller)) = queue.accept() else {
                return;
            };
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.origin.serve(stream, caller.ip()),
                Err(error) => log::warn!(cause:% = error; "failed to serve one of the last connections"),
            }
        }
    }
}

impl Origin {
    fn serve(&self, stream: TcpStream, caller: IpAddr) {
        if let Err(error) = LIVENESS.apply(&stream) {
            log::debug!(cause:% = error; "failed to set socket options");
        }
        let shared = Arc::clone(&self.shared);
        let activity = Arc::new(Activity::new(shared.now()));
        let Some(seat) = self.admit(&activity) else {
            return;
        };
        let service = self.service.clone();
        tokio::spawn(async move {
            serve_connection(shared, service, stream, caller, activity).await;
            drop(seat);
        });
    }

    /// Adds a connection to the roster; `None` if there are too many and none can be closed for it.
    fn admit(&self, activity: &Arc<Activity>) -> Option<Seat> {
        let allowance = self.shared.allowance();
        let now = self.shared.now();
        let admitted = self.roster.admit(now, &allowance, activity);
        let limit = match &admitted {
            Some((_, Closed::None)) => None,
            Some((_, Closed::Other)) => Some(Limit::Connections),
            None => Some(Limit::NewConnections),
        };
        if let Some(limit) = limit {
            let (used, max) = self.roster.usage(&allowance);
            self.shared.limit_report.record(now, limit, used, max);
        }
        admitted.map(|(seat, _)| seat)
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    service: Service,
    stream: TcpStream,
    caller: IpAddr,
    activity: Arc<Activity>,
) {
    let limits = shared.caller_limits();
    let lifecycle = shared.lifecycle.clone();
    let handle_request = {
        let (shared, activity) = (Arc::clone(&shared), Arc::clone(&activity));
        service_fn(move |mut request: Request<Incoming>| {
            let shared = Arc::clone(&shared);
            let service = service.clone();
            let activity = Arc::clone(&activity);
            request.extensions_mut().insert(Arc::clone(&activity));
            Box::pin(async move {
                activity.begin();
                // Before HTTP/1.1 there are no chunks; a response to HEAD has no body.
                let has_chunks = request.version() >= Version::HTTP_11 || request.method() == Method::HEAD;
                let mut response = handle_request(Arc::clone(&shared), service, caller, request).await;
                if activity.has_unread() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| Tracked::new(body, has_chunks, shared, activity)))
            })
        })
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(
            TokioIo::new(CallerStream::new(stream, Arc::clone(&activity))),
            handle_request,
        );
    // A connection opened later is closed after its first response.
    let was_open = lifecycle.phase() < Phase::Closing;
    let ended = tokio::select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
        () = activity.timed_out(&shared) => return,
        () = activity.closed() => return,
        () = lifecycle.reached(Phase::Closing), if was_open => tokio::select! {
            ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
            () = tokio::time::sleep(ARRIVAL_TIME) => {
                Pin::new(&mut connection).graceful_shutdown();
                poll_fn(|context| connection.poll_without_shutdown(context)).await
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(cause:% = error; "caller connection ended");
        return;
    }
    let stream = connection.into_parts().io.into_inner().into_inner();
    let unread = if activity.has_unread() {
        limits.body_bytes
    } else {
        0
    };
    tokio::select! {
        () = linger(stream, unread) => {}
        () = activity.closed() => {}
    }
}

/// Minimum buffer size that the library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

async fn handle_request(
    shared: Arc<Shared>,
    service: Service,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let is_leaving = shared.lifecycle.phase() >= Phase::Leaving;
    let mut response = match service {
        Service::Proxy => proxy::handle_request(shared, request).await,
        Service::Directory => directory::handle_request(&shared, request.uri()),
        Service::Ready => ready(&shared, &request),
        Service::Peers => exchange::handle_request(shared, caller, request).await,
        Service::Metrics(handle) => text(StatusCode::OK, handle.render()),
    };
    if is_leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn ready(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if !shared.edge.is_readiness(request.uri()) {
        return text(StatusCode::NOT_FOUND, String::new());
    }
    if shared.is_ready() {
        text(StatusCode::OK, String::new())
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, String::new())
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(body::full(text.into()));
    *response.status_mut() = status;
    response
}
