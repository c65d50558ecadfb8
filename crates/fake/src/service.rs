//! Fake plain service: an account ledger whose top-ups are not idempotent.
//!
//! | route | response |
//! |---|---|
//! | `POST /topup` `{"account":"…","amount":N}` | adds the amount on every run; [`Answer`](ledger::Answer) |
//! | `GET /balance/{account}` | [`Answer`](ledger::Answer) |
//! | `ANY /{path}` | runs and responds with `{"run":N,"path":"…"}` |
//! | `GET /v1/load` | [`Load`](crate::replica::Load), delayed by the lag |
//! | `POST /v1/orders` ([`Order`](crate::replica::Order)) | 202, or 409 for an outdated fencing token |
//! | `GET /admin/runs?after=N` | [`Run`]s with numbers above N, in order |
//! | `GET /admin/orders` | [`Orders`](crate::replica::Orders) |
//! | `PUT /admin/faults` | replaces [`Faults`](crate::fault::Faults) |
//!
//! Every response echoes `Bilberrylatch-Dispatch` and `Bilberrylatch-Key`, and reports the version in
//! `Bilberrylatch-Version`.

pub mod ledger;

pub mod server;

mod route;
mod shared;

pub use crate::replica::Run;
pub use ledger::Ledger;
pub use server::Server;
