//! Tests of the real programs: processes on loopback, killed, frozen and cut off.

mod answers;
mod callers;
mod catalogue;
mod chosen_keys;
mod deployment;
mod keys;
mod leaving;
mod process;
mod rollouts;
mod settings;
mod smoke;
mod sse;
mod streams;
mod top_up;
