//! Fake model engine that streams tokens, with continuous batching and a bounded prefix cache.
//!
//! | route | response |
//! |---|---|
//! | `POST /v1/completions` ([`Completion`]) | an event stream, or [`Text`](completion::Text) without `stream` |
//! | `POST /v1/cancel/{dispatch}` | 204, or 404 |
//! | `POST /v1/kv/export` `{"dispatch":"…"}` | [`Export`](completion::Export) to resume from with `import`, or 404 |
//! | `GET /v1/load` | [`Load`](crate::replica::Load), delayed by the lag |
//! | `GET /v1/events?after=N` | cache [`Event`]s with numbers above N, delayed by the lag and with gaps |
//! | `POST /v1/orders` ([`Order`](crate::replica::Order)) | 202, or 409 for an outdated fencing token |
//! | `GET /admin/counts` | [`Counts`](model::Counts) |
//! | `GET /admin/runs?after=N` | [`Run`](crate::replica::Run)s with numbers above N, in order |
//! | `GET /admin/orders` | [`Orders`](crate::replica::Orders) |
//! | `PUT /admin/faults` | replaces [`Faults`](crate::fault::Faults) |
//!
//! Each event of a stream has the token's index as `id` and a [`Token`](completion::Token) as data. A final
//! `event: done` carries [`Done`](completion::Done). Responses echo `Bilberrylatch-Dispatch` and `Bilberrylatch-Key`,
//! and report the version in `Bilberrylatch-Version`.

pub mod completion;
pub mod event;
pub mod model;
pub mod server;
pub mod token;

mod driver;
mod log;
mod reply;
mod route;
mod shared;
mod stream;

pub use completion::Completion;
pub use event::Event;
pub use server::Server;
pub use token::token;
