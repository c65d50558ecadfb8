//! A write to be made.

use bytes::Bytes;

use crate::{Condition, Lease};

/// A conditional write with an id of its own.
#[derive(Clone, Debug)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the record.
    pub value: Option<Bytes>,
    /// What must hold for the write to take effect.
    pub condition: Condition,
    /// The lease that the record is bound to.
    pub lease: Option<Lease>,
    /// Id by which a lost answer is settled.
    pub id: String,
}

impl Write {
    /// A write of `value` under `key`, with a fresh id.
    pub fn new<K>(key: K, value: Bytes, condition: Condition) -> Self
    where
        K: Into<String>,
    {
        let id = uuid::Uuid::new_v4().simple().to_string();
        Self {
            key: key.into(),
            value: Some(value),
            condition,
            lease: None,
            id,
        }
    }

    /// A deletion of the record under `key`, with a fresh id.
    pub fn delete<K>(key: K, condition: Condition) -> Self
    where
        K: Into<String>,
    {
        Self {
            value: None,
            ..Self::new(key, Bytes::new(), condition)
        }
    }

    /// Binds the record to a lease.
    pub fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Uses an id that the caller chose, for example an operator's edit id.
    pub fn with_id<I>(mut self, id: I) -> Self
    where
        I: Into<String>,
    {
        self.id = id.into();
        self
    }
}
