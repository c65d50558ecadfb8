//! Tests of the router against a reference model, and tables of cases for selection, refusals and retries.

mod fairness;
mod fixture;
mod fuzz;
mod op;
mod oracle;
mod refusals;
mod retries;
mod selection;
mod simulation;
