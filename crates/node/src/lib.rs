//! The daemon: carries events between callers, peers, replicas, the platform and the deciding crates.
