//! Measures the overhead of the request path and of the control plane with real processes on loopback.
//!
//! `cargo bench --bench path` prints four tables: the latency that a node adds, the request throughput per core, the
//! resource usage of relayed streams, and the control-plane overhead per node for several numbers of nodes. Load is
//! bounded in count and time.

#[expect(dead_code, reason = "only the system tests use all helpers")]
#[path = "../../tests/system/deployment.rs"]
mod deployment;
#[expect(dead_code, reason = "only the system tests use all helpers")]
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
        .expect("the runtime should start");
    runtime.block_on(async {
        latency::run().await;
        streams::run().await;
        control_plane::run().await;
    });
}
