//! Fake key-value service with conditional requests (RFC 9110), leases and watches.
//!
//! | route | response |
//! |---|---|
//! | `GET /v1/kv/{key…}` | the value with `ETag: "revision"`, `Bilberrylatch-Write-Id` and `-Lease` as stored, or 404 |
//! | `PUT /v1/kv/{key…}` | 200 with the new `ETag`, 412 with the current one, 413 over 1 MiB, 409 for an expired lease |
//! | `DELETE /v1/kv/{key…}` | 204, 404 or 412 |
//! | `GET /v1/kv?prefix=&after=KEY&limit=` | a [`page`] of records ordered by key |
//! | `POST /v1/leases` `{"ttl_ms":N}` | `{"id":"…"}` |
//! | `PUT /v1/leases/{id}` | renews the lease: 204, or 404 once it has expired |
//! | `DELETE /v1/leases/{id}` | revokes the lease and deletes its keys: 204, or 404 once it has expired |
//! | `GET /v1/watch?prefix=&after=REVISION&timeout_ms=` | a [`page`] of events, empty on timeout, or 410 if the history was compacted |
//! | `GET /admin/counts` | [`Counts`] |
//! | `PUT /admin/faults` | replaces [`Faults`] |
//!
//! Each write increments the revision by one. The deletion of a key counts as a write.

pub mod counts;
pub mod faults;
pub mod limiter;
pub mod page;
pub mod record;
pub mod server;
pub mod store;

mod lease;
mod route;
mod shared;
mod watch;

pub use counts::Counts;
pub use faults::Faults;
pub use record::Record;
pub use server::Server;
pub use store::Store;
