//! Scenarios: load, engines and failures of a run.

use base::Millis;

/// Arrival rates of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Requests per second.
    pub base: f64,
    /// Requests per second between `from` and `until`.
    pub burst: f64,
    pub from: Millis,
    pub until: Millis,
}

impl Stream {
    pub const fn steady(base: f64) -> Self {
        Self {
            base,
            burst: base,
            from: Millis(0),
            until: Millis(0),
        }
    }

    pub fn rate(&self, now: Millis) -> f64 {
        if self.from <= now && now < self.until {
            self.burst
        } else {
            self.base
        }
    }
}

/// Reclaim of an availability zone without notice, and its replacement.
#[derive(Clone, Copy, Debug)]
pub struct Reclaim {
    pub gone_at: Millis,
    pub back_at: Millis,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub length: Millis,
    pub engines: usize,
    /// Number of engines that run at a third of the normal speed.
    pub slow_engines: usize,
    pub streams: [Stream; 2],
    pub reclaim: Option<Reclaim>,
    /// Whether both workspaces share one flow, which disables fair queueing.
    pub shared_flow: bool,
    /// Percentage of requests for one hot file.
    pub hot_percent: u32,
}

const STEADY: Scenario = Scenario {
    name: "steady",
    length: Millis::from_secs(40),
    engines: 18,
    slow_engines: 0,
    streams: [Stream::steady(80.0), Stream::steady(20.0)],
    reclaim: None,
    shared_flow: false,
    hot_percent: 0,
};

const BURST: Scenario = Scenario {
    name: "flood",
    streams: [
        Stream {
            base: 60.0,
            burst: 400.0,
            from: Millis::from_secs(15),
            until: Millis::from_secs(30),
        },
        Stream::steady(10.0),
    ],
    ..STEADY
};

pub const SCENARIOS: [Scenario; 8] = [
    Scenario {
        name: "light",
        streams: [Stream::steady(30.0), Stream::steady(10.0)],
        ..STEADY
    },
    STEADY,
    Scenario {
        name: "busy",
        streams: [Stream::steady(110.0), Stream::steady(30.0)],
        ..STEADY
    },
    Scenario {
        name: "hot file",
        streams: [Stream::steady(60.0), Stream::steady(20.0)],
        hot_percent: 50,
        ..STEADY
    },
    Scenario {
        name: "two slow engines",
        slow_engines: 2,
        ..STEADY
    },
    Scenario {
        name: "zone gone",
        streams: [Stream::steady(100.0), Stream::steady(20.0)],
        reclaim: Some(Reclaim {
            gone_at: Millis::from_secs(15),
            back_at: Millis::from_secs(30),
        }),
        ..STEADY
    },
    BURST,
    Scenario {
        name: "flood, one flow",
        shared_flow: true,
        ..BURST
    },
];
