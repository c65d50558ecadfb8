//! Scheduler of faults and operator actions.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Method;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::Mutex;

use super::config::{Action, Event};
use super::deployment::Deployment;
use super::observer::Observer;
use super::recorder::Recorder;
use crate::Error;

/// Delay between attempts to start a rollout, and their maximum number.
const DECLARE_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_DECLARE_ATTEMPTS: u32 = 40;

/// Executes scheduled events on a deployment.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub deployment: Arc<Mutex<Deployment>>,
    pub observer: Arc<Observer>,
    pub recorder: Arc<Recorder>,
}

impl Scheduler {
    /// Waits until the event is due, executes its action and logs the result.
    pub async fn run(self, event: Event) {
        tokio::time::sleep_until(self.recorder.instant(event.at_ms * 1_000)).await;
        let result = self.execute(&event.action).await;
        let kind = serde_json::to_value(&event.action).unwrap_or_default();
        match result {
            Ok(()) => self.recorder.log(&format!("{} done", kind["kind"])),
            Err(error) => self.recorder.log(&format!("{} failed: {error}", kind["kind"])),
        }
    }

    async fn execute(&self, action: &Action) -> Result<(), Error> {
        match action {
            Action::Reclaim { zone, notice_ms } => self.reclaim(zone, *notice_ms).await,
            Action::StopNode { node } => {
                // The node is stopped after the lock is released, so that other events are not delayed.
                let node = self.deployment.lock().await.take_node(*node);
                if let Some(node) = node {
                    node.stop().await;
                }
                Ok(())
            }
            Action::Kv { for_ms, faults } => {
                let url = self.deployment.lock().await.store_url.clone();
                self.inject_faults(&[url], *for_ms, faults, &fake::kv::Faults::default())
                    .await
            }
            Action::Cloud { for_ms, faults } => {
                let url = self.deployment.lock().await.cloud_url.clone();
                self.inject_faults(&[url], *for_ms, faults, &fake::cloud::Faults::default())
                    .await
            }
            Action::Replicas {
                endpoint,
                zone,
                version,
                for_ms,
                faults,
            } => {
                let urls = self
                    .replica_urls(endpoint, zone.as_deref(), version.as_deref())
                    .await;
                self.inject_faults(&urls, *for_ms, faults.as_ref(), &fake::fault::Faults::default())
                    .await
            }
            Action::Rollout {
                endpoint,
                to,
                within_s,
                watch_s,
            } => {
                let body = json!({
                    "id": rollout::Id::new(rollout::WallTime(wall_time_ms()), 1).to_string(),
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

    /// Logs the status of the rollouts that were started.
    pub async fn log_rollout_status(&self, events: &[Event]) {
        let deployment = self.deployment.lock().await;
        for event in events {
            let Action::Rollout { endpoint, .. } = &event.action else {
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
        let url = format!("{}/admin/zones/{zone}/reclaim", deployment.cloud_url);
        deployment
            .send(Method::POST, &url, &json!({"notice_ms": notice_ms}))
            .await?;
        drop(deployment);
        tokio::time::sleep(Duration::from_millis(notice_ms)).await;
        // Reads the runs of the replicas before they are killed.
        self.observer.poll().await;
        self.deployment.lock().await.kill_zone(zone);
        Ok(())
    }

    async fn replica_urls(&self, endpoint: &str, zone: Option<&str>, version: Option<&str>) -> Vec<String> {
        let deployment = self.deployment.lock().await;
        let vms = deployment.replicas.iter().map(|replica| &replica.vm);
        let vms = vms.filter(|vm| vm.endpoint == endpoint);
        let vms = vms.filter(|vm| zone.is_none_or(|zone| zone == vm.zone));
        let vms = vms.filter(|vm| version.is_none_or(|version| version == vm.version));
        vms.map(|vm| format!("http://{}", vm.addr)).collect()
    }

    /// Sets faults and resets them after the given time.
    async fn inject_faults<F>(
        &self,
        urls: &[String],
        for_ms: u64,
        faults: &F,
        defaults: &F,
    ) -> Result<(), Error>
    where
        F: Serialize,
    {
        self.set_faults(urls, &to_json(faults)?).await?;
        tokio::time::sleep(Duration::from_millis(for_ms)).await;
        self.set_faults(urls, &to_json(defaults)?).await
    }

    async fn set_faults(&self, urls: &[String], faults: &Value) -> Result<(), Error> {
        let deployment = self.deployment.lock().await;
        for url in urls {
            deployment
                .send(Method::PUT, &format!("{url}/admin/faults"), faults)
                .await?;
        }
        Ok(())
    }

    /// Sends a rollout to the nodes in turn until the node that controls the endpoint accepts it.
    async fn declare(&self, endpoint: &str, body: &Value) -> Result<(), Error> {
        let mut result = Ok(());
        for attempt in 0..MAX_DECLARE_ATTEMPTS as usize {
            let deployment = self.deployment.lock().await;
            let node = deployment.nodes[attempt % deployment.nodes.len()];
            let url = format!("http://{node}/v1/admin/rollouts/{endpoint}");
            result = deployment.send(Method::POST, &url, body).await;
            drop(deployment);
            if result.is_ok() {
                return result;
            }
            tokio::time::sleep(DECLARE_RETRY_DELAY).await;
        }
        result
    }
}

fn to_json<F>(faults: &F) -> Result<Value, Error>
where
    F: Serialize,
{
    serde_json::to_value(faults).map_err(|cause| Error::Deployment(cause.to_string()))
}

fn wall_time_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
