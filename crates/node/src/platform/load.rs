//! Load reports of replicas, which every node reads for its own routing.

use std::time::Duration;

use base::Millis;
use futures::StreamExt;
use route::replica;
use serde::Deserialize;
use tokio::time::sleep;

use crate::actor::traffic::replica::Identity;
use crate::actor::traffic::report::{Report, Sources};
use crate::shared::Shared;

/// Interval between reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a read. The load of a slower replica shows in its latencies.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of concurrent reads.
const CONCURRENCY: usize = 16;

/// Load report of a replica; other fields are ignored.
#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    queued: u32,
    #[serde(default)]
    age_ms: u64,
}

/// Replica from which to read reports.
#[derive(Clone, Debug)]
pub struct Source {
    /// VM incarnation of the replica.
    pub identity: Identity,
    /// Base URL of the replica.
    pub url: String,
}

/// Reads reports until the node ends.
pub async fn watch(shared: Shared) {
    loop {
        sleep(READ_INTERVAL).await;
        let Ok(sources) = shared.traffic.ask(Sources).await else {
            return;
        };
        let reads = futures::stream::iter(sources).map(|source| read(&shared, source));
        reads.buffer_unordered(CONCURRENCY).collect::<()>().await;
    }
}

async fn read(shared: &Shared, source: Source) {
    let Ok(load) = fetch(shared, &source.url).await else {
        metrics::counter!("bilberrylatch_load_reports_missed_total").increment(1);
        return;
    };
    let report = replica::Report {
        running: load.running,
        queued: load.queued,
        age: Millis(load.age_ms),
    };
    let _gone = shared
        .traffic
        .tell(Report {
            identity: source.identity,
            report,
        })
        .await;
}

async fn fetch(shared: &Shared, url: &str) -> Result<Load, reqwest::Error> {
    let response = shared
        .http
        .get(format!("{url}/v1/load"))
        .timeout(READ_TIMEOUT)
        .send()
        .await?;
    response.error_for_status()?.json().await
}
