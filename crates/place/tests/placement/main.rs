//! Choices of replicas and what follows from the ends of dispatches.

mod error;
mod pool;
mod shutdown;
mod support;
mod suspicion;
