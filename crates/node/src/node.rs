//! A running node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Incarnation, Seed};
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use wire::{Identity, Incoming};

use crate::acceptor::Acceptor;
use crate::actor::{
    Claims, MAILBOX_CAPACITY, Members, Rollouts, Traffic, claims, members, rollouts, traffic,
};
use crate::edge;
use crate::error::Error;
use crate::lifecycle::{Lifecycle, Phase};
use crate::platform;
use crate::retained::{Predecessor, Retained};
use crate::serving::Serving;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use clock::Clock;

/// Capacity of the queue of queries to the platform.
const QUERY_QUEUE: usize = 16;

/// Capacity of the queue of this node's vetoes to publish.
const VETO_QUEUE: usize = 64;

/// Time for callers to read the rest of their answers after the drain.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for callers that connected just before the end to send their request.
///
/// NB: closing a connection before its request is read resets it, and the caller gets no response.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(200);

/// Timeout for connecting to a replica or the cloud.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of idle connections kept per host.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A node with its tasks, which run until it is stopped.
#[derive(Debug)]
pub struct Node {
    shared: Shared,
    listen: SocketAddr,
    peer_listen: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    server: JoinHandle<()>,
    registration: JoinHandle<()>,
    /// Keeps the socket for callers open for the next incarnation after the server has closed its handle.
    listener: std::net::TcpListener,
}

impl Node {
    /// Binds the addresses and starts all tasks. The platform and the peers need not be reachable yet.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        Self::start_with(settings, Clock::new(), None).await
    }

    /// Starts the first incarnation of a process, or the one after `predecessor`.
    pub async fn start_with(
        settings: Settings,
        clock: Clock,
        predecessor: Option<Predecessor>,
    ) -> Result<Self, Error> {
        edge::admin::metrics::install();
        let listen_address = settings.listen;
        let listen_error = |cause| Error::Listen {
            address: listen_address,
            cause,
        };
        let (listener, (peers, incoming), retained) = if let Some(predecessor) = predecessor {
            let peers = predecessor.peers.restart();
            (predecessor.listener, peers, predecessor.retained)
        } else {
            let identity = Identity::new(&settings.peer_secret).map_err(Error::Peers)?;
            let peers = wire::Transport::bind(settings.peer_listen, &identity).map_err(Error::Peers)?;
            (bind(listen_address).await.map_err(listen_error)?, peers, None)
        };
        let listen = listener.local_addr().map_err(listen_error)?;
        let accept_listener = duplicate(&listener).map_err(listen_error)?;
        let peer_listen = peers.address().map_err(Error::Peers)?;
        let components = Components::new(settings, clock, retained, peers, listen, peer_listen)?;
        Ok(components.run(accept_listener, listener, incoming))
    }

    /// The address for callers.
    pub const fn address(&self) -> SocketAddr {
        self.listen
    }

    /// The address for peers.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_listen
    }

    /// Handles to the components of this node.
    pub const fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Waits until the node starts to drain, for example because of a reclaim notice.
    pub async fn stop_requested(&self) {
        self.shared.lifecycle.wait_for(Phase::Draining).await;
    }

    /// Waits until other nodes may have declared this incarnation gone.
    pub async fn fenced(&self) {
        self.shared.lifecycle.fenced().await;
    }

    /// Stops gracefully and returns what the next incarnation of this process needs.
    ///
    /// The next incarnation answers callers that connect in the meantime.
    pub async fn retire(self) -> Predecessor {
        let retained = self.shared.members.ask(members::Retain).await;
        let retained = retained
            .inspect_err(|error| log::warn!("failed to retain state for the next incarnation: {error}"))
            .ok();
        shut_down(&self.shared, self.server, self.registration, &self.tasks).await;
        Predecessor {
            listener: self.listener,
            peers: self.shared.peers.clone(),
            retained: retained.map(|retained| *retained),
        }
    }

    /// Stops gracefully: withdraws the address, finishes accepted work, hands over keys and ends.
    pub async fn stop(self) {
        // Callers that connect after the server has ended must be refused instead of waiting in the socket's
        // queue.
        drop(self.listener);
        shut_down(&self.shared, self.server, self.registration, &self.tasks).await;
        self.shared.peers.close().await;
    }
}

async fn shut_down(
    shared: &Shared,
    server: JoinHandle<()>,
    registration: JoinHandle<()>,
    tasks: &[JoinHandle<()>],
) {
    edge::drain::run(shared).await;
    shared.lifecycle.advance(Phase::Ended);
    let server_abort = server.abort_handle();
    if tokio::time::timeout(CLOSE_TIMEOUT, server).await.is_err() {
        log::warn!("closing caller connections that are still open after the drain");
        server_abort.abort();
    }
    let _ended = registration.await;
    for task in tasks {
        task.abort();
    }
}

/// Components of a node before its tasks run.
struct Components {
    shared: Shared,
    node: member::Node,
    queries: mpsc::Receiver<members::Query>,
    vetoes: mpsc::Receiver<rollout::Veto>,
    listen: SocketAddr,
    peer_listen: SocketAddr,
}

impl Components {
    fn new(
        settings: Settings,
        clock: Clock,
        retained: Option<Retained>,
        peers: wire::Transport,
        listen: SocketAddr,
        peer_listen: SocketAddr,
    ) -> Result<Self, Error> {
        let incarnation = Incarnation(rand::rng().random());
        let seed = Seed(rand::rng().random());
        let node = member::Node {
            name: settings.name.clone(),
            incarnation,
            epoch: epoch(),
            peer: peer_listen,
            caller: listen,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let http = http_client()?;
        let backend =
            store::http::Http::new(&settings.store).map_err(|error| Error::Client(error.to_string()))?;
        let (veto_sender, vetoes) = mpsc::channel(VETO_QUEUE);
        let traffic = Traffic::spawn_with_mailbox(
            traffic::Arguments {
                seed: seed.derive(1),
                zone: settings.zone.clone(),
                clock,
                incarnation,
                vetoes: veto_sender,
            },
            mailbox::bounded(MAILBOX_CAPACITY),
        );
        let (shared_sender, shared_receiver) = watch::channel(None);
        let claims = spawn_claims(
            &settings,
            incarnation,
            clock,
            seed.derive(4),
            shared_receiver.clone(),
        );
        let rollouts = Rollouts::spawn_with_mailbox(
            rollouts::Arguments {
                incarnation,
                seed: seed.derive(3),
                clock,
                traffic: traffic.clone(),
                shared: shared_receiver,
            },
            mailbox::bounded(MAILBOX_CAPACITY),
        );
        let snapshot = retained.as_ref().map_or_else(
            || Arc::new(Snapshot::empty()),
            |retained| Arc::clone(&retained.snapshot),
        );
        let (snapshot_sender, snapshot) = watch::channel(snapshot);
        let (serving_sender, serving) = watch::channel(Serving::syncing());
        let lifecycle = Lifecycle::new();
        let (queries_sender, queries) = mpsc::channel(QUERY_QUEUE);
        let arguments = members::Arguments {
            node: node.clone(),
            seeds: settings.peers.clone(),
            seed: seed.derive(2),
            clock,
            peers: peers.clone(),
            traffic: traffic.clone(),
            rollouts: rollouts.clone(),
            snapshot: snapshot_sender,
            serving: serving_sender,
            queries: queries_sender,
            lifecycle: lifecycle.clone(),
            retained,
        };
        let members = Members::spawn_with_mailbox(arguments, mailbox::bounded(MAILBOX_CAPACITY));
        let shared = Shared {
            settings: Arc::new(settings),
            incarnation,
            clock,
            traffic,
            claims,
            members,
            rollouts,
            snapshot,
            serving,
            store: store::Client::new(backend),
            peers,
            http,
            lifecycle,
        };
        shared_sender.send_replace(Some(shared.clone()));
        Ok(Self {
            shared,
            node,
            queries,
            vetoes,
            listen,
            peer_listen,
        })
    }

    fn run(
        self,
        accept_listener: TcpListener,
        listener: std::net::TcpListener,
        incoming: mpsc::Receiver<Incoming>,
    ) -> Node {
        let Self {
            shared,
            node,
            queries,
            vetoes,
            listen,
            peer_listen,
        } = self;
        let tasks = vec![
            tokio::spawn(edge::peer::serve(shared.clone(), incoming)),
            tokio::spawn(platform::catalogue::watch(shared.clone(), queries)),
            tokio::spawn(platform::nodes::watch(shared.clone())),
            tokio::spawn(publish_vetoes(shared.clone(), vetoes)),
            tokio::spawn(platform::cloud::watch_vms(shared.clone())),
            tokio::spawn(platform::load::watch(shared.clone())),
            tokio::spawn(platform::cloud::watch_notices(shared.clone())),
        ];
        let registration = tokio::spawn(platform::registration::maintain(shared.clone(), node));
        let server = tokio::spawn(serve(shared.clone(), accept_listener));
        Node {
            shared,
            listen,
            peer_listen,
            tasks,
            server,
            registration,
            listener,
        }
    }
}

/// Opens the socket for callers, detached from the runtime so that incarnations can share it.
async fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    TcpListener::bind(address).await?.into_std()
}

/// Duplicates the handle of the socket, to accept callers on it.
fn duplicate(listener: &std::net::TcpListener) -> std::io::Result<TcpListener> {
    let accept_listener = listener.try_clone()?;
    accept_listener.set_nonblocking(true)?;
    TcpListener::from_std(accept_listener)
}

/// Sends this node's vetoes to peers and to its own rollout controllers.
async fn publish_vetoes(shared: Shared, mut vetoes: mpsc::Receiver<rollout::Veto>) {
    while let Some(veto) = vetoes.recv().await {
        let _gone = shared.members.tell(members::Veto::new(&veto)).await;
        let _gone = shared.rollouts.tell(rollouts::Vetoed(Box::new(veto))).await;
    }
}

fn spawn_claims(
    settings: &Settings,
    incarnation: Incarnation,
    clock: Clock,
    seed: Seed,
    shared: watch::Receiver<Option<Shared>>,
) -> ActorRef<Claims> {
    let secret = claim::Secret::new(settings.peer_secret.as_bytes());
    Claims::spawn_with_mailbox(
        claims::Arguments {
            incarnation,
            secret,
            clock,
            seed,
            shared,
        },
        mailbox::bounded(MAILBOX_CAPACITY),
    )
}

/// Orders the incarnations with this node's name: wall-clock milliseconds at the start.
fn epoch() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Builds an HTTP client that never retries on its own, so that a non-idempotent request can't run twice.
fn http_client() -> Result<reqwest::Client, Error> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .map_err(|error| Error::Client(error.to_string()))
}

async fn serve(shared: Shared, listener: TcpListener) {
    let lifecycle = shared.lifecycle.clone();
    let router = edge::http::router(shared);
    let acceptor = match Acceptor::new(listener, lifecycle.clone()) {
        Ok(acceptor) => acceptor,
        Err(error) => return log::error!("failed to accept callers: {error}"),
    };
    let shutdown = async move {
        lifecycle.wait_for(Phase::Ended).await;
        tokio::time::sleep(LAST_REQUEST_TIME).await;
    };
    if let Err(error) = axum::serve(acceptor, router)
        .with_graceful_shutdown(shutdown)
        .await
    {
        log::error!("HTTP server for callers failed: {error}");
    }
}
