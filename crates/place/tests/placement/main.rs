//! Choices of replicas and what follows from the ends of dispatches.

mod doubt;
mod last;
mod outcome;
mod pool;
mod support;
