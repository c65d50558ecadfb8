//! Tests of replica selection, admission and retry decisions.

mod attempts;
mod brittle;
mod cold;
mod contention;
mod dead;
mod error;
mod evacuation;
mod intermediary;
mod limits;
mod pool;
mod reach;
mod regions;
mod response;
mod shutdown;
mod spells;
mod support;
mod suspicion;
