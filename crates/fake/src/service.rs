//! The plain service: a ledger whose top-ups may not be repeated.
//!
//! | route | answer |
//! |---|---|
//! | `POST /topup` `{"account":"…","amount":N}` | adds, at each run; [`Answer`](ledger::Answer) |
//! | `GET /balance/{account}` | [`Answer`](ledger::Answer) |
//! | `ANY /{path}` | runs and answers `{"run":N,"path":"…"}` |
//! | `GET /v1/load` | [`Load`](crate::replica::Load), late by the lag |
//! | `POST /v1/orders` | [`Order`](crate::replica::Order); 202, or 409 for an old fencing number |
//! | `GET /admin/runs?after=N` | [`Run`]s in order |
//! | `GET /admin/orders` | [`Orders`](crate::replica::Orders) |
//! | `PUT /admin/faults` | replaces [`Faults`](crate::fault::Faults) |
//!
//! Every answer echoes `Bilberrylatch-Dispatch` and `Bilberrylatch-Key` and names its `Bilberrylatch-Version`.

pub mod ledger;

pub mod server;

mod route;
mod shared;

pub use crate::replica::Run;
pub use ledger::Ledger;
pub use server::Server;
