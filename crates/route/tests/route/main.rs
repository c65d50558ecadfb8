//! The router against a simple oracle, and tables of its refusals and retries.

mod fairness;
mod fixture;
mod fuzz;
mod op;
mod oracle;
mod refusals;
mod retries;
mod selection;
mod simulation;
