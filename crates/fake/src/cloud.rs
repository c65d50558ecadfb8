//! The cloud API with its lagging VM list and reclaim notices.
//!
//! | route | answer |
//! |---|---|
//! | `GET /v1/vms` | [`Vm`]s, late by the lag |
//! | `POST /v1/vms` ([`Start`]) | the new [`Vm`]; refused as set |
//! | `DELETE /v1/vms/{id}` | 204; 404 |
//! | `GET /v1/notices?after=N&timeout_ms=` | [`Notice`]s numbered above N, by long poll |
//! | `PUT /admin/vms/{id}` ([`Vm`]) | registers a VM that runs already |
//! | `DELETE /admin/vms/{id}` | takes a VM away without notice |
//! | `POST /admin/vms/{id}/notice` `{"notice_ms":N}` | gives notice |
//! | `POST /admin/zones/{zone}/reclaim` `{"notice_ms":N}` | gives notice to every reclaimable VM of the zone |
//! | `PUT /admin/faults` | replaces [`Faults`] |
//!
//! At the end of a notice the VM leaves the list. A VM that the stand-in itself started is then stopped, too.

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
