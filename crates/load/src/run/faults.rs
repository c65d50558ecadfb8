//! The schedule of events.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Method;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::Mutex;

use super::config::{Event, What};
use super::deployment::Deployment;
use super::observer::Observer;
use super::recorder::Recorder;
use crate::Error;

/// Wait before a declaration is repeated, and how often.
const DECLARE_PAUSE: Duration = Duration::from_millis(500);
const DECLARE_TRIES: u32 = 40;

/// What events act on.
#[derive(Clone, Debug)]
pub struct Stage {
    pub deployment: Arc<Mutex<Deployment>>,
    pub observer: Arc<Observer>,
    pub recorder: Arc<Recorder>,
}

impl Stage {
    /// Waits for the event's time and lets it happen.
    pub async fn play(self, event: Event) {
        tokio::time::sleep_until(self.recorder.at(event.at_ms * 1_000)).await;
        let done = self.act(&event.what).await;
        let kind = serde_json::to_value(&event.what).unwrap_or_default();
        match done {
            Ok(()) => self.recorder.log(&format!("{} done", kind["kind"])),
            Err(error) => self.recorder.log(&format!("{} failed: {error}", kind["kind"])),
        }
    }

    async fn act(&self, what: &What) -> Result<(), Error> {
        match what {
            What::Reclaim { zone, notice_ms } => self.reclaim(zone, *notice_ms).await,
            What::StopNode { node } => {
                // NB: not stopped under the lock, so that other events keep their times.
                let node = self.deployment.lock().await.take_node(*node);
                if let Some(node) = node {
                    node.stop().await;
                }
                Ok(())
            }
            What::Kv { for_ms, faults } => {
                let url = self.deployment.lock().await.store.clone();
                self.for_a_span(&[url], *for_ms, faults, &fake::kv::Faults::default())
                    .await
            }
            What::Cloud { for_ms, faults } => {
                let url = self.deployment.lock().await.cloud.clone();
                self.for_a_span(&[url], *for_ms, faults, &fake::cloud::Faults::default())
                    .await
            }
            What::Replicas {
                endpoint,
                zone,
                version,
                for_ms,
                faults,
            } => {
                let urls = self.replicas(endpoint, zone.as_deref(), version.as_deref()).await;
                self.for_a_span(&urls, *for_ms, faults.as_ref(), &fake::fault::Faults::default())
                    .await
            }
            What::Rollout {
                endpoint,
                to,
                within_s,
                watch_s,
            } => {
                let body = json!({
                    "id": rollout::Id::new(rollout::WallTime(wall_ms()), 1).to_string(),
                    "to": to,
                    "from": null,
                    "within_seconds": within_s,
                    "watch_seconds": watch_s,
                    "operator": "load",
                });
                self.declare(endpoint, &body).await
            }
        }
    }

    /// Notes how far the declared moves came.
    pub async fn log_rollouts(&self, events: &[Event]) {
        let deployment = self.deployment.lock().await;
        for event in events {
            let What::Rollout { endpoint, .. } = &event.what else {
                continue;
            };
            let path = format!("/v1/admin/rollouts/{endpoint}");
            for node in &deployment.nodes {
                let Some(status) = deployment.read(*node, &path).await else {
                    continue;
                };
                self.recorder.log(&format!("rollout of {endpoint}: {status}"));
                break;
            }
        }
    }

    async fn reclaim(&self, zone: &str, notice_ms: u64) -> Result<(), Error> {
        let deployment = self.deployment.lock().await;
        let url = format!("{}/admin/zones/{zone}/reclaim", deployment.cloud);
        deployment
            .send(Method::POST, &url, &json!({"notice_ms": notice_ms}))
            .await?;
        drop(deployment);
        tokio::time::sleep(Duration::from_millis(notice_ms)).await;
        // What ran there is read before it is gone.
        self.observer.look().await;
        self.deployment.lock().await.kill_zone(zone);
        Ok(())
    }

    async fn replicas(&self, endpoint: &str, zone: Option<&str>, version: Option<&str>) -> Vec<String> {
        let deployment = self.deployment.lock().await;
        let vms = deployment.replicas.iter().map(|replica| &replica.vm);
        let vms = vms.filter(|vm| vm.endpoint == endpoint);
        let vms = vms.filter(|vm| zone.is_none_or(|zone| zone == vm.zone));
        let vms = vms.filter(|vm| version.is_none_or(|version| version == vm.version));
        vms.map(|vm| format!("http://{}", vm.addr)).collect()
    }

    /// Sets faults and, after the span, takes them away.
    async fn for_a_span<F>(&self, urls: &[String], for_ms: u64, faults: &F, none: &F) -> Result<(), Error>
    where
        F: Serialize,
    {
        self.switch(urls, &value(faults)?).await?;
        tokio::time::sleep(Duration::from_millis(for_ms)).await;
        self.switch(urls, &value(none)?).await
    }

    async fn switch(&self, urls: &[String], faults: &Value) -> Result<(), Error> {
        let deployment = self.deployment.lock().await;
        for url in urls {
            deployment
                .send(Method::PUT, &format!("{url}/admin/faults"), faults)
                .await?;
        }
        Ok(())
    }

    /// Declares a rollout at one node after the other, until the one that controls it has taken it.
    async fn declare(&self, endpoint: &str, body: &Value) -> Result<(), Error> {
        let mut last = Ok(());
        for attempt in 0..DECLARE_TRIES as usize {
            let deployment = self.deployment.lock().await;
            let node = deployment.nodes[attempt % deployment.nodes.len()];
            let url = format!("http://{node}/v1/admin/rollouts/{endpoint}");
            last = deployment.send(Method::POST, &url, body).await;
            drop(deployment);
            if last.is_ok() {
                return last;
            }
            tokio::time::sleep(DECLARE_PAUSE).await;
        }
        last
    }
}

fn value<F>(faults: &F) -> Result<Value, Error>
where
    F: Serialize,
{
    serde_json::to_value(faults).map_err(|cause| Error::Deployment(cause.to_string()))
}

fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
