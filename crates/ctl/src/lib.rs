//! The operators' command-line tool.
//!
//! [`args`] holds the flags, [`client`] talks to a node's operators' API, [`command`] has a module a command, and
//! [`output`] prints tables for people and JSON for scripts.

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
