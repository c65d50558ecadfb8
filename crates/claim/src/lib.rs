//! Idempotency keys: who may run a request, and what every repeat is told.
