//! Cost of the path and of control, measured on real processes on loopback.
//!
//! `cargo bench --bench path` prints four tables: latency added by a node, requests a core, memory a stream, and
//! what control costs a node in fleets of several sizes. Load is bounded in count and time.

#[expect(dead_code, reason = "the tests use what the bench does not")]
#[path = "../../tests/system/deployment.rs"]
mod deployment;
#[expect(dead_code, reason = "the tests use what the bench does not")]
#[path = "../../tests/system/process.rs"]
mod process;

mod control_plane;
mod latency;
mod streams;
mod usage;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        latency::run().await;
        streams::run().await;
        control_plane::run().await;
    });
}
