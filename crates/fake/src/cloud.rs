//! Fake cloud API with a VM list that lags and reclaim notices.
//!
//! | route | response |
//! |---|---|
//! | `GET /v1/vms` | [`Vm`]s, delayed by the lag |
//! | `POST /v1/vms` ([`Start`]) | the new [`Vm`], or the status of a configured refusal |
//! | `DELETE /v1/vms/{id}` | 204, or 404 |
//! | `GET /v1/notices?after=N&timeout_ms=` | [`Notice`]s with numbers above N; a long poll |
//! | `PUT /admin/vms/{id}` ([`Vm`]) | registers a running VM |
//! | `DELETE /admin/vms/{id}` | removes a VM without notice |
//! | `POST /admin/vms/{id}/notice` `{"notice_ms":N}` | issues a reclaim notice for a VM |
//! | `POST /admin/zones/{zone}/reclaim` `{"notice_ms":N}` | issues a notice for every reclaimable VM of the zone |
//! | `PUT /admin/faults` | replaces [`Faults`] |
//!
//! When a notice period ends, the VM is removed from the list. A VM that the fake cloud started is also stopped.

pub mod faults;
pub mod fleet;
pub mod notice;
pub mod server;
pub mod start;
pub mod vm;

mod route;
mod shared;

pub use faults::Faults;
pub use notice::Notice;
pub use server::Server;
pub use start::Start;
pub use vm::Vm;
