//! The cloud's VM list and reclaim notices.

use std::time::Duration;

use member::item;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use super::is_watcher;
use super::vm::{Kind, Notice, State, Vm, parse_incarnation};
use crate::actor::members::{Mark, VmsListed};
use crate::actor::traffic::ReplicasListed;
use crate::shared::Shared;

/// Interval between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Long-poll timeout for notices.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a call beyond its long-poll time.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the VM list periodically and publishes it to the actors.
pub async fn watch_vms(shared: Shared) {
    loop {
        let url = format!("{}/v1/vms", shared.settings.cloud);
        match get::<Vec<Vm>>(&shared, url, Duration::ZERO).await {
            Ok(vms) => publish(&shared, &vms).await,
            Err(error) => log::debug!("failed to read the VM list: {error}"),
        }
        sleep(LIST_INTERVAL).await;
    }
}

async fn publish(shared: &Shared, vms: &[Vm]) {
    let own = vms
        .iter()
        .find(|vm| vm.kind == Kind::Node && vm.id == shared.settings.name);
    if let Some(own) = own {
        shared.lifecycle.set_vm(parse_incarnation(&own.incarnation));
        if own.state == State::Leaving {
            shared
                .lifecycle
                .begin_leaving(own.deadline_ms.map(Duration::from_millis));
        }
    }
    let replicas = vms.iter().filter_map(Vm::replica).collect();
    let _gone = shared.traffic.tell(ReplicasListed { replicas }).await;
    let vms = vms.iter().map(|vm| item::Vm {
        name: vm.id.clone(),
        incarnation: parse_incarnation(&vm.incarnation),
    });
    let _gone = shared.members.tell(VmsListed(vms.collect())).await;
}

/// Reads notices while this node is a watcher of its zone, and gossips a mark for each.
pub async fn watch_notices(shared: Shared) {
    let mut after = 0;
    loop {
        if !is_watcher(&shared).await {
            sleep(LIST_INTERVAL).await;
            continue;
        }
        let wait = NOTICE_TIMEOUT.as_millis();
        let url = format!(
            "{}/v1/notices?after={after}&timeout_ms={wait}",
            shared.settings.cloud
        );
        match get::<Vec<Notice>>(&shared, url, NOTICE_TIMEOUT).await {
            Ok(notices) => {
                for notice in notices {
                    after = after.max(notice.number);
                    handle_notice(&shared, &notice).await;
                }
            }
            Err(error) => {
                log::debug!("failed to read notices: {error}");
                sleep(LIST_INTERVAL).await;
            }
        }
    }
}

async fn handle_notice(shared: &Shared, notice: &Notice) {
    metrics::counter!("bilberrylatch_notices_total").increment(1);
    let vm = item::Vm {
        name: notice.vm.clone(),
        incarnation: parse_incarnation(&notice.incarnation),
    };
    log::info!(vm = notice.vm.as_str(), remaining_ms = notice.remaining_ms; "reclaim notice for {}", notice.vm);
    let is_own = notice.kind == Kind::Node && notice.vm == shared.settings.name;
    if is_own {
        shared
            .lifecycle
            .begin_leaving(Some(Duration::from_millis(notice.remaining_ms)));
    }
    let _gone = shared.members.tell(Mark(vm)).await;
}

async fn get<T>(shared: &Shared, url: String, wait: Duration) -> Result<T, reqwest::Error>
where
    T: DeserializeOwned,
{
    let request = shared.http.get(url).timeout(wait + CALL_TIMEOUT);
    request.send().await?.error_for_status()?.json().await
}
