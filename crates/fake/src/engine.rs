//! The model engine: streams of tokens under continuous batching with a bounded prefix cache.
//!
//! | route | answer |
//! |---|---|
//! | `POST /v1/completions` ([`Completion`]) | a stream of events, or [`Text`](completion::Text) without `stream` |
//! | `POST /v1/cancel/{dispatch}` | 204; 404 |
//! | `POST /v1/kv/export` `{"dispatch":"…"}` | [`Export`](completion::Export), to be sent as `import` with a resume; 404 |
//! | `GET /v1/load` | [`Load`](crate::replica::Load), late by the lag |
//! | `GET /v1/events?after=N` | cache [`Event`]s numbered above N, late and with gaps |
//! | `POST /v1/orders` | [`Order`](crate::replica::Order); 202, or 409 for an old fencing number |
//! | `GET /admin/counts` | [`Counts`](model::Counts) |
//! | `GET /admin/runs?after=N` | [`Run`](crate::replica::Run)s in order |
//! | `GET /admin/orders` | [`Orders`](crate::replica::Orders) |
//! | `PUT /admin/faults` | replaces [`Faults`](crate::fault::Faults) |
//!
//! A stream's event has the token's index as `id` and [`Token`](completion::Token) as data; `event: done` ends it,
//! with [`Done`](completion::Done) as data. Responses echo `Bilberrylatch-Dispatch` and `Bilberrylatch-Key` and name
//! their `Bilberrylatch-Version`.

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
