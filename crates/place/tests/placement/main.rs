//! Tests of replica selection, admission and retry decisions.

mod error;
mod limits;
mod pool;
mod shutdown;
mod support;
mod suspicion;
