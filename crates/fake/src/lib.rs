//! Fake servers for the platform and the endpoints: key-value service, cloud, engine and service, with fault injection.
//!
//! Each is an axum server that runs as a task (`Server::new().start(addr)`) or as a separate process
//! (`bilberrylatch-fake kv --listen 127.0.0.1:0`). `PUT /admin/faults` changes the faults at run time. Admin routes are
//! not subject to faults, except for refused connections.

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
