//! Stand-ins for the platform and the endpoints: key-value service, cloud, engine and service, with faults.
//!
//! Each is an axum server that starts as a task (`Server::new().start(addr)`) or as a process of its own
//! (`bilberrylatch-fake kv --listen 127.0.0.1:0`). Faults are switched at run time by `PUT /admin/faults`;
//! admin routes are never subject to faults, but for a refused connection.

pub mod cli;
pub mod clock;
pub mod cloud;
pub mod engine;
pub mod error;
pub mod fault;
pub mod handle;
pub mod header;
pub mod kv;
pub mod lagged;
pub mod net;
pub mod replica;
pub mod service;

pub use error::Error;
pub use handle::Handle;
