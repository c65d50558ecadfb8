//! System tests: run the real programs as processes on loopback and kill, freeze or isolate them.

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
