//! Tests of the real programs: processes on loopback, killed, frozen and cut off.

mod callers;
mod catalogue;
mod chosen_keys;
mod deployment;
mod keys;
mod leaving;
mod process;
mod rollouts;
mod smoke;
mod sse;
mod streams;
