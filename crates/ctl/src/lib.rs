//! Command-line tool for operators.
//!
//! [`args`] defines the flags, [`client`] calls the admin API of the nodes, [`command`] has one module per command, and
//! [`output`] prints tables and text for people or JSON for scripts. [`demo`] runs a whole deployment in one process.

pub mod app;
pub mod args;
pub mod client;
pub mod command;
pub mod demo;
pub mod error;
pub mod exit;
pub mod output;
pub mod scrape;

pub use app::run;
pub use client::Client;
pub use error::Error;
pub use exit::Exit;
