//! Policies against their baselines in virtual time.
fn main() {}
