//! The router against a simple oracle, and tables of its refusals and retries.

mod cases;
mod fairness;
mod fuzz;
mod op;
mod oracle;
mod world;
