//! The key-value service: conditional requests (RFC 9110), leases and watches.
//!
//! | route | answer |
//! |---|---|
//! | `GET /v1/kv/{key…}` | the value; `ETag: "revision"`, `Bilberrylatch-Write-Id` and `-Lease` as stored; 404 |
//! | `PUT /v1/kv/{key…}` | 200 with the new `ETag`; 412 with the current one; 413 over 1 MiB; 409 for a lapsed lease |
//! | `DELETE /v1/kv/{key…}` | 204; 404; 412 |
//! | `GET /v1/kv?prefix=&after=KEY&limit=` | a [`page`] of records in key order |
//! | `POST /v1/leases` `{"ttl_ms":N}` | `{"id":"…"}` |
//! | `PUT /v1/leases/{id}` | 204; 404 once lapsed |
//! | `DELETE /v1/leases/{id}` | 204, and its keys are deleted; 404 once lapsed |
//! | `GET /v1/watch?prefix=&after=REVISION&timeout_ms=` | a [`page`] of events, empty at the timeout; 410 if the history is gone |
//! | `GET /admin/counts` | [`Counts`] |
//! | `PUT /admin/faults` | replaces [`Faults`] |
//!
//! The revision grows by one a write; each deleted key counts as a write.

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
