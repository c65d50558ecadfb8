//! The edge to a key-value service: an adapter to another service is one more implementation.

use std::time::Duration;

use futures::future::BoxFuture;

use crate::{Changes, Error, Lease, Listing, Record, Write};

/// One call each, without retries, settlement or budget; [`crate::Client`] adds those.
///
/// A write whose answer does not arrive fails with [`Error::Indeterminate`], never [`Error::Unavailable`],
/// unless no byte of it can have left.
pub trait Backend: std::fmt::Debug + Send + Sync {
    /// Reads a record.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, Error>>;

    /// Reads up to `limit` records whose keys start with `prefix` and come after `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Listing, Error>>;

    /// Makes a conditional write; answers the new revision.
    fn write<'a>(&'a self, write: &'a Write) -> BoxFuture<'a, Result<u64, Error>>;

    /// Opens a lease.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease, Error>>;

    /// Renews a lease for its whole time to live.
    fn renew<'a>(&'a self, lease: &'a Lease) -> BoxFuture<'a, Result<(), Error>>;

    /// Ends a lease; its records vanish.
    fn revoke<'a>(&'a self, lease: &'a Lease) -> BoxFuture<'a, Result<(), Error>>;

    /// Waits for changes under `prefix` after `revision`, at most `timeout`; empty if there were none.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Changes, Error>>;
}
