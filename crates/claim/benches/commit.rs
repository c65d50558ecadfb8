//! Group commit against one write a claim, in virtual time: a service with a rate of writes and a latency, callers
//! that arrive at random. Prints one line of CSV a case; the same seed gives the same table on every machine.

mod commit {
    pub mod group;
    pub mod service;
    pub mod single;
    pub mod stats;
}

use commit::group::Group;
use commit::single::Single;
use commit::stats::Stats;

/// Length of a run, in seconds; deletes begin after the log is long enough and a minute more.
pub const RUN_SECS: u64 = 300;
/// Part of a run that is not counted, in seconds.
pub const WARMUP_SECS: u64 = 180;
/// Writes a second that the service takes.
pub const WRITES_PER_SEC: u64 = 300;
/// Claims asked for a second.
const RATES: [u64; 5] = [20, 100, 250, 500, 2_000];
/// Latency of the service, in milliseconds.
const LATENCIES: [u64; 2] = [5, 50];
/// Ways to spread the same writes: shards, and milliseconds between two writes to one.
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

/// One way to spread writes.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Logs.
    pub shards: u16,
    /// Shortest time between two writes to one, in milliseconds.
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
