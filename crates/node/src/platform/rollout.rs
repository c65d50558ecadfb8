//! Records of roles and rollouts at the platform. Each call runs as a task and reports its outcome to the
//! actor.

use std::time::{SystemTime, UNIX_EPOCH};

use base::Name;
use bytes::Bytes;
use kameo::actor::WeakActorRef;
use member::role::{Event, Observed, Record, Revision};
use rollout::event::StoreResult;
use rollout::{Stored, Summary, WallTime};
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::{Condition, Error, Write};

use super::registration;
use crate::actor::Rollouts;
use crate::actor::members::Locate;
use crate::actor::rollouts::announcement::Holder;
use crate::actor::rollouts::message::RoleReading;
use crate::actor::rollouts::{RoleRead, RoleWritten, RolloutRead, RolloutWritten};
use crate::shared::Shared;

/// Current wall-clock time.
pub fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
}

fn role_key(endpoint: &Name) -> String {
    format!("roles/controller/{endpoint}")
}

fn rollout_key(endpoint: &Name) -> String {
    format!("rollouts/{endpoint}")
}

/// Reads a role's record and whether its holder's lease is alive.
pub fn read_role(shared: Shared, actor: WeakActorRef<Rollouts>, endpoint: Name) {
    tokio::spawn(async move {
        let reading = RoleReading(observe_role(&shared, &endpoint).await.ok());
        tell(&actor, RoleRead { endpoint, reading }).await;
    });
}

async fn observe_role(shared: &Shared, endpoint: &Name) -> Result<Option<Observed>, Error> {
    let Some(record) = shared.store.get(&role_key(endpoint)).await? else {
        return Ok(None);
    };
    let revision = Revision(record.revision.number);
    let record: Record = parse(&record.value)?;
    let lease_alive = match record.holder {
        Some(holder) => registration::is_alive(shared, holder, record.lease).await?,
        None => false,
    };
    Ok(Some(Observed {
        record,
        revision,
        lease_alive,
    }))
}

/// Swaps a role's record if its revision is as expected.
pub fn swap_role(
    shared: Shared,
    actor: WeakActorRef<Rollouts>,
    endpoint: Name,
    expect: Option<Revision>,
    record: Record,
) {
    tokio::spawn(async move {
        let condition = expect.map_or(Condition::Absent, |revision| {
            Condition::Revision(stored_revision(revision.0))
        });
        let event = match write(&shared, role_key(&endpoint), &record, condition).await {
            Ok(_revision) => Event::Swapped(record.write_id),
            Err(Error::Conflict(_)) => Event::Conflict(record.write_id),
            Err(_indeterminate) => Event::Unanswered(record.write_id),
        };
        tell(&actor, RoleWritten { endpoint, event }).await;
    });
}

/// Reads a rollout's record. `acquired` is the fencing number if the role was just acquired.
pub fn load_rollout(shared: Shared, actor: WeakActorRef<Rollouts>, endpoint: Name, acquired: Option<u64>) {
    tokio::spawn(async move {
        let stored = read_rollout(&shared, &endpoint).await.ok();
        tell(
            &actor,
            RolloutRead {
                endpoint,
                stored,
                acquired,
            },
        )
        .await;
    });
}

/// Reads a rollout's record.
pub async fn read_rollout(shared: &Shared, endpoint: &Name) -> Result<Option<Box<Stored>>, Error> {
    let Some(record) = shared.store.get(&rollout_key(endpoint)).await? else {
        return Ok(None);
    };
    Ok(Some(Box::new(Stored {
        record: parse(&record.value)?,
        generation: record.revision.number,
    })))
}

/// Writes a rollout's record if its revision is as expected.
pub fn store_rollout(
    shared: Shared,
    actor: WeakActorRef<Rollouts>,
    endpoint: Name,
    record: Box<rollout::Record>,
    expected: u64,
) {
    tokio::spawn(async move {
        let condition = if expected == 0 {
            Condition::Absent
        } else {
            Condition::Revision(stored_revision(expected))
        };
        let result = match write(&shared, rollout_key(&endpoint), &*record, condition).await {
            Ok(revision) => StoreResult::Ok(revision.number),
            Err(Error::Conflict(_)) => match read_rollout(&shared, &endpoint).await {
                Ok(stored) => StoreResult::Conflict(stored),
                Err(_error) => StoreResult::Lost,
            },
            Err(Error::Unavailable(_) | Error::BudgetExceeded) => StoreResult::Unavailable,
            Err(_indeterminate) => StoreResult::Lost,
        };
        tell(&actor, RolloutWritten { endpoint, result }).await;
    });
}

/// Sends evidence to the controller of the rollout. A lost summary is replaced by the next one.
pub fn send_summary(shared: Shared, holder: Holder, summary: &Summary) {
    let Ok(bytes) = wire::encode(summary) else { return };
    metrics::counter!("bilberrylatch_peer_bytes_total", "kind" => "evidence").increment(bytes.len() as u64);
    tokio::spawn(async move {
        let Ok(location) = shared.members.ask(Locate(holder.node)).await else {
            return;
        };
        let Some(peer) = location.peer else { return };
        if let Err(error) = shared
            .peers
            .send(peer, &wire::Frame::Evidence(Bytes::from(bytes)))
            .await
        {
            log::debug!("failed to send evidence to {peer}: {error}");
        }
    });
}

async fn write<T>(
    shared: &Shared,
    key: String,
    value: &T,
    condition: Condition,
) -> Result<store::Revision, Error>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).map_err(|error| Error::Protocol(error.to_string()))?;
    shared
        .store
        .write(&Write::new(key, Bytes::from(bytes), condition))
        .await
}

fn parse<T>(bytes: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|error| Error::Protocol(error.to_string()))
}

async fn tell<M>(actor: &WeakActorRef<Rollouts>, message: M)
where
    M: Send + 'static,
    Rollouts: kameo::message::Message<M>,
{
    if let Some(actor) = actor.upgrade() {
        let _ended = actor.tell(message).await;
    }
}

/// Revision in the key-value service, which names no era.
fn stored_revision(number: u64) -> store::Revision {
    store::Revision { era: 0, number }
}
