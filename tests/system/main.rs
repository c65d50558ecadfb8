//! Tests of the real programs: processes on loopback, killed, frozen and cut off.

mod admission;
mod catalogue;
mod chosen_keys;
mod deployment;
mod draining;
mod issued_keys;
mod process;
mod responses;
mod rollouts;
mod settings;
mod smoke;
mod sse;
mod streams;
mod top_up;
