//! Pools and requests for the tests.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Millis, Seed};
use place::{Demand, Part, Pool, Settings, Spec, State, VersionFilter};

/// Port of the first replica.
pub const FIRST_PORT: u16 = 8_000;

/// Returns the registration of the replica with this number.
pub fn spec(number: u16, slots: u32) -> Spec {
    Spec {
        id: Arc::from(format!("i-{number}")),
        endpoint: Arc::from("endpoint"),
        address: SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + number)),
        zone: Arc::from(format!("zone-{}", number % 4)),
        version: Arc::from("v1"),
        slots,
        state: State::Ready,
        reclaimable: false,
        warmup_remaining: Millis::ZERO,
        started_unix_ms: Some(1),
    }
}

/// Returns a pool of replicas with a prompt cache and 64 slots each.
pub fn engine_pool(seed: Seed, replicas: u16) -> Pool {
    let settings = Settings {
        cache_tokens: 500_000,
        ..Settings::default()
    };
    pool(seed, settings, replicas, 64)
}

/// Returns a pool of replicas without a prompt cache, with six slots each.
pub fn plain_pool(seed: Seed, replicas: u16) -> Pool {
    let settings = Settings {
        cross_zone_cost: Millis::ZERO,
        ..Settings::default()
    };
    pool(seed, settings, replicas, 6)
}

fn pool(seed: Seed, settings: Settings, replicas: u16, slots: u32) -> Pool {
    let mut pool = Pool::new(seed, settings);
    for number in 0..replicas {
        pool.register(Millis::ZERO, spec(number, slots));
    }
    pool
}

/// Returns a request with this prompt.
pub const fn demand(parts: &[Part]) -> Demand<'_> {
    Demand {
        parts,
        output_tokens: 100,
        zone: "zone-0",
        tried: &[],
        version: VersionFilter::Any,
        zones: None,
        time_left: Millis(8_000),
        has_detour: false,
        urgency: None,
    }
}
