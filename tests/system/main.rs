//! Tests of the real programs: processes on loopback, killed, frozen and cut off.

mod deployment;
mod process;
mod smoke;
mod sse;
