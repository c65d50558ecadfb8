//! Interface to a key-value service. Each supported service has an adapter that implements it.

use std::time::Duration;

use base::Revision;
use futures::future::BoxFuture;
use tokio::sync::watch;

use crate::{Changes, Error, Lease, Listing, Record, Write};

/// Each method makes a single call. [`crate::Client`] adds retries, rate limits and the handling of lost responses.
///
/// A write whose response does not arrive must fail with [`Error::Indeterminate`]. It may fail with
/// [`Error::Unavailable`] only if no byte of the request can have been sent.
///
/// A service that was restored from a copy names a higher era. An answer of an earlier era than one that another answer
/// named must fail, and a call that rests on an earlier era must not be reported as a success.
pub trait Backend: std::fmt::Debug + Send + Sync {
    /// The highest era that an answer has named; `None` if the service names none.
    fn eras(&self) -> Option<watch::Receiver<u64>> {
        None
    }

    /// Reads a record.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Record>, Error>>;

    /// Reads up to `limit` records whose keys start with `prefix` and come after `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Listing, Error>>;

    /// Makes a conditional write and returns the new revision.
    fn write<'a>(&'a self, write: &'a Write) -> BoxFuture<'a, Result<Revision, Error>>;

    /// Requests a new lease.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease, Error>>;

    /// Renews a lease for its full time to live.
    fn renew<'a>(&'a self, lease: &'a Lease) -> BoxFuture<'a, Result<(), Error>>;

    /// Revokes a lease, which deletes the records bound to it.
    fn revoke<'a>(&'a self, lease: &'a Lease) -> BoxFuture<'a, Result<(), Error>>;

    /// Waits up to `timeout` for changes under `prefix` after `revision`. The result is empty if there were none.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: Revision,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Changes, Error>>;
}
