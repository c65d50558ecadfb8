//! Writes to the service.

use bytes::Bytes;

use crate::{Condition, Guard, Lease};

/// A conditional write with a unique id.
#[derive(Clone, Debug)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the record.
    pub value: Option<Bytes>,
    /// Condition for the write to take effect.
    pub condition: Condition,
    /// Another record that must be unchanged for the write to take effect. Not all backends support it.
    pub guard: Option<Guard>,
    /// The lease to bind the record to.
    pub lease: Option<Lease>,
    /// Id that identifies the write when the record is read back after a lost response.
    pub id: String,
}

impl Write {
    /// Creates a write of `value` under `key`, with a new random id.
    pub fn new<K>(key: K, value: Bytes, condition: Condition) -> Self
    where
        K: Into<String>,
    {
        let id = uuid::Uuid::new_v4().simple().to_string();
        Self {
            key: key.into(),
            value: Some(value),
            condition,
            guard: None,
            lease: None,
            id,
        }
    }

    /// Creates a deletion of the record under `key`, with a new random id.
    pub fn delete<K>(key: K, condition: Condition) -> Self
    where
        K: Into<String>,
    {
        Self {
            value: None,
            ..Self::new(key, Bytes::new(), condition)
        }
    }

    /// Makes the write depend on another record that it rests on.
    pub fn with_guard(mut self, guard: Guard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Binds the record to a lease.
    pub fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Replaces the id with one chosen by the caller, for example an operator's edit id.
    pub fn with_id<I>(mut self, id: I) -> Self
    where
        I: Into<String>,
    {
        self.id = id.into();
        self
    }
}
