//! Tests of the real programs: processes on loopback, killed, frozen and cut off.

mod catalogue;
mod deployment;
mod keys;
mod leaving;
mod process;
mod rollouts;
mod smoke;
mod sse;
mod streams;
