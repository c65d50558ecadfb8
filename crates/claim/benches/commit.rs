//! Group commit compared with one write per claim, simulated in virtual time with a service of limited write rate and
//! fixed latency and with random arrivals. Prints one line of CSV per case. The same seed gives the same output on
//! every machine.

mod commit {
    pub mod group;
    pub mod service;
    pub mod single;
    pub mod stats;
}

use commit::group::Group;
use commit::single::Single;
use commit::stats::Stats;

/// Length of a run, in seconds. Deletes start a minute after the log has reached its target length.
pub const RUN_SECS: u64 = 300;
/// Warm-up at the start of a run that is not measured, in seconds.
pub const WARMUP_SECS: u64 = 180;
/// Write rate of the service, per second.
pub const WRITES_PER_SEC: u64 = 300;
/// Requested claims per second.
const RATES: [u64; 5] = [20, 100, 250, 500, 2_000];
/// Latencies of the service, in milliseconds.
const LATENCIES: [u64; 2] = [5, 50];
/// Distributions of the writes over shards.
const LAYOUTS: [Layout; 5] = [
    Layout {
        shards: 1,
        interval: 15,
    },
    Layout {
        shards: 2,
        interval: 30,
    },
    Layout {
        shards: 4,
        interval: 30,
    },
    Layout {
        shards: 4,
        interval: 50,
    },
    Layout {
        shards: 8,
        interval: 60,
    },
];

/// Distribution of writes over shards.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of shards.
    pub shards: u16,
    /// Minimum interval between two writes to a shard, in milliseconds.
    pub interval: u64,
}

fn main() {
    println!("way,shards,interval_ms,latency_ms,asked_per_s,{}", Stats::HEADER);
    for latency in LATENCIES {
        for rate in RATES {
            println!("single,,,{latency},{rate},{}", Single::new(rate, latency).run());
            for layout in LAYOUTS {
                let Layout { shards, interval } = layout;
                let stats = Group::new(rate, latency, layout).run();
                println!("group,{shards},{interval},{latency},{rate},{stats}");
            }
        }
    }
}
