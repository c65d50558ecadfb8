//! A running node: its tasks, and the order in which it starts and stops.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::Millis;
use clock::Clock;
use metrics_exporter_prometheus::PrometheusHandle;
use place::shutdown::{DISCOVERY_TIME, Limit, Shutdown};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

use crate::edge::{Cloud, Edge};
use crate::lifecycle::Phase;
use crate::serve::{Listener, Service};
use crate::{Error, Settings, Shared, blocks, follow, leader, peers, publish, reach, register};

/// Time before SIGKILL at which the process ends any requests still in flight.
const END_MARGIN: Millis = Millis(300);
/// Time reserved for writing the last responses before the process ends.
const FLUSH_TIME: Millis = Millis(200);
/// Time without requests after which a leaving node stops, since callers have moved on to other nodes.
const QUIET_PERIOD: Millis = Millis(400);
/// Time without requests after which the last responses are considered written.
const FLUSH_QUIET_PERIOD: Millis = Millis(60);
/// Interval at which the node checks whether requests are still in flight.
const IDLE_POLL: Duration = Duration::from_millis(20);
/// Interval at which the wall clock is sampled and idle connections are checked.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The parts that an adapter to a platform provides.
#[derive(Debug)]
pub struct Adapter {
    /// The platform's names and formats.
    pub edge: Arc<dyn Edge>,
    /// Client of the platform's store.
    pub store: store::Client,
    /// Client of the cloud's API.
    pub cloud: Arc<dyn Cloud>,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    /// Tasks that write to the store when the node stops.
    final_tasks: [JoinHandle<()>; 2],
}

impl Node {
    /// Binds the addresses and starts all tasks.
    pub async fn start(
        settings: Settings,
        adapter: Adapter,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, Error> {
        let Adapter { edge, store, cloud } = adapter;
        let shared = Arc::new(Shared::new(edge, store, cloud, settings, Clock::new()));
        let settings = shared.settings();
        let mut services = vec![
            (settings.listen, Service::Proxy),
            (settings.directory_listen, Service::Directory),
            (settings.ready_listen, Service::Ready),
            (settings.peer_listen, Service::Peers),
        ];
        services.extend(metrics.map(|handle| (settings.metrics_listen, Service::Metrics(handle))));
        for (address, service) in services {
            let listener = Listener::bind(Arc::clone(&shared), address, service).await?;
            tokio::spawn(listener.run());
        }
        peers::start(&shared, settings.peer_listen).await?;
        let (lease_sender, lease_receiver) = watch::channel(None);
        tokio::spawn(follow::run(Arc::clone(&shared)));
        let registration = tokio::spawn(register::run(Arc::clone(&shared), lease_sender));
        tokio::spawn(leader::run(Arc::clone(&shared), lease_receiver));
        let publisher = tokio::spawn(publish::run(Arc::clone(&shared)));
        tokio::spawn(blocks::run(Arc::clone(&shared)));
        tokio::spawn(reach::run(Arc::clone(&shared)));
        tokio::spawn(run_housekeeping(Arc::clone(&shared)));
        log::info!(node = settings.name, zone = settings.zone, incarnation:% = shared.incarnation,
            address:% = settings.listen; "node started");
        Ok(Self {
            shared,
            final_tasks: [registration, publisher],
        })
    }

    /// The state shared by all tasks.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the node gracefully: stops being ready, lets requests in flight finish, and withdraws the registration.
    pub async fn stop(self) {
        let grace = self.shared.settings().grace - END_MARGIN;
        let started = self.shared.now();
        let elapsed = || self.shared.now().since(started);
        log::info!(waiting = self.shared.waiting_requests(); "node leaving");
        self.shared.lifecycle.begin(Shutdown {
            started,
            deadline: started + grace - FLUSH_TIME,
        });
        // Give callers time to discover that the node is leaving, then close idle connections.
        let mut limit = Limit::new(started, started + grace);
        while elapsed() < DISCOVERY_TIME.min(grace) {
            sleep(IDLE_POLL).await;
            self.observe(&mut limit);
        }
        self.shared.lifecycle.enter(Phase::Closing);
        self.wait_idle(QUIET_PERIOD, &mut limit).await;
        log::info!(waiting = self.shared.waiting_requests(), took_ms = elapsed().0; "node ends");
        self.shared.lifecycle.enter(Phase::Ended);
        // Responses to the last requests may still be being written.
        self.wait_idle(FLUSH_QUIET_PERIOD, &mut limit).await;
        let left = limit.left(self.shared.now());
        let last = futures::future::join_all(self.final_tasks);
        if tokio::time::timeout(left.as_duration(), last).await.is_err() {
            log::warn!("timed out withdrawing the registration");
        }
    }
}

impl Node {
    /// Waits until no request has been in flight for `quiet_period`, or until the limit.
    async fn wait_idle(&self, quiet_period: Millis, limit: &mut Limit) {
        let mut busy_at = self.shared.now();
        while limit.left(self.shared.now()) > Millis::ZERO && self.shared.now().since(busy_at) < quiet_period
        {
            sleep(IDLE_POLL).await;
            self.observe(limit);
            if self.shared.waiting_requests() > 0 {
                busy_at = self.shared.now();
            }
        }
    }

    /// Records that the process runs, and logs whether it was suspended before.
    fn observe(&self, limit: &mut Limit) {
        let now = self.shared.now();
        let Some(suspended) = limit.observe(now) else {
            return;
        };
        let waiting = self.shared.waiting_requests();
        log::warn!(suspended_ms = suspended.0, waiting, left_ms = limit.left(now).0; "node was suspended while leaving");
    }
}

/// Samples the wall clock, closes connections that were idle for too long, and updates gauges.
async fn run_housekeeping(shared: Arc<Shared>) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    loop {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = shared.lifecycle.reached(Phase::Ended) => return,
        }
        match SystemTime::now().duration_since(UNIX_EPOCH) {
            Ok(time) => {
                let now = shared.now();
                shared.wall_clock().record_sample(now, time.as_millis() as u64);
            }
            Err(error) => log::warn!(cause:% = error; "system clock is before the Unix epoch"),
        }
        shared.connections.close_expired();
        let (age, nodes) = {
            let view = shared.view();
            (view.freshness.age(shared.now()), view.nodes())
        };
        metrics::gauge!("bilberrylatch_view_age_ms").set(age.map_or(f64::INFINITY, |it| it.0 as f64));
        metrics::gauge!("bilberrylatch_nodes").set(nodes as f64);
        let (used, limit) = shared.request_memory.usage();
        metrics::gauge!("bilberrylatch_request_bytes").set(used as f64);
        metrics::gauge!("bilberrylatch_request_bytes_limit").set(limit as f64);
        metrics::gauge!("bilberrylatch_requests_waiting").set(shared.waiting_requests() as f64);
    }
}
