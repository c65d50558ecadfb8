//! Fairness.
