//! What became of the requests at nodes that were cut off and at the others.

use std::fmt;
use std::time::Duration;

use base::Millis;
use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;

/// Time after the beginning of a cut from which requests count: `contact-ms`.
pub const CONTACT_TIME: Millis = Millis(4_000);
/// Minimum share of served requests at nodes that are cut off, as a fraction of that at the others.
pub const MIN_RATIO: f64 = 0.95;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A stream of the large endpoint that must not be resumed.
    Fragile,
    /// A stream of the large endpoint.
    Stream,
    /// A request to the small endpoint that must not run twice.
    Unsafe,
    /// An idempotent request to the small endpoint.
    Safe,
}

impl Class {
    /// Draws a class.
    pub fn draw(generator: &mut Generator) -> Self {
        match generator.random_range(0..100) {
            0..61 => Self::Fragile,
            61..74 => Self::Stream,
            74..93 => Self::Unsafe,
            _ => Self::Safe,
        }
    }

    /// Name of its route.
    pub const fn route(self) -> &'static str {
        match self {
            Self::Fragile => "fragile",
            Self::Stream => "stream",
            Self::Unsafe => "unsafe",
            Self::Safe => "safe",
        }
    }

    /// How long its callers wait.
    pub const fn deadline(self) -> Duration {
        match self {
            Self::Fragile => Duration::from_secs(10),
            Self::Stream => Duration::from_secs(5),
            Self::Unsafe => Duration::from_millis(1_200),
            Self::Safe => Duration::from_secs(1),
        }
    }

    /// Whether its requests run once at most.
    const fn runs_once(self) -> bool {
        matches!(self, Self::Fragile | Self::Unsafe)
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its id.
    pub id: String,
    /// Node that it was sent to.
    pub node: usize,
    /// Its kind.
    pub class: Class,
    /// When it was sent.
    pub sent: Millis,
    /// Time to the end of the response.
    pub took: Millis,
    /// Status of the response; 0 if there was no complete one.
    pub status: u16,
    /// Body of a failure, or why there is no response.
    pub reason: String,
}

impl Try {
    /// Whether it was answered with success.
    pub const fn is_served(&self) -> bool {
        self.status == 200
    }
}

/// Requests of a group of nodes.
#[derive(Clone, Debug, Default)]
pub struct Group {
    tries: usize,
    served: usize,
    /// Durations of the served requests that are not streams.
    times: Vec<Millis>,
    failures: IndexMap<String, usize>,
}

impl Group {
    fn add(&mut self, it: &Try) {
        self.tries += 1;
        if it.is_served() {
            self.served += 1;
            if matches!(it.class, Class::Safe | Class::Unsafe) {
                self.times.push(it.took);
            }
        } else {
            let reason = format!("{} {}", it.status, it.reason.trim());
            *self.failures.entry(reason).or_default() += 1;
        }
    }

    /// Share of the requests that were served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.tries.max(1) as f64
    }

    /// Time within which so many of a hundred served requests were answered.
    fn percentile(&self, percent: usize) -> Millis {
        let mut times = self.times.clone();
        times.sort();
        let index = times.len() * percent / 100;
        times.get(index).copied().unwrap_or_default()
    }
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} ({:.3}), p50 {} ms, p99 {} ms",
            self.served,
            self.tries,
            self.share(),
            self.percentile(50).0,
            self.percentile(99).0
        )?;
        for (reason, count) in &self.failures {
            write!(f, "; {count}x {reason}")?;
        }
        Ok(())
    }
}

/// A cut that was made.
#[derive(Clone, Debug)]
pub struct Window {
    /// The nodes that were cut off.
    pub nodes: Vec<usize>,
    /// When the cut began.
    pub began: Millis,
    /// When it ended.
    pub ended: Millis,
}

/// Requests during a cut, at the nodes that were cut off and at the others.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    /// At the nodes that were cut off.
    pub cut: Group,
    /// At the others.
    pub others: Group,
}

impl Comparison {
    /// Compares the requests that were sent from `after` the beginning of a cut on, until its end.
    pub fn new<'a, T>(window: &Window, after: Millis, tries: T) -> Self
    where
        T: IntoIterator<Item = &'a Try>,
    {
        let mut comparison = Self::default();
        for it in tries {
            if it.sent < window.began + after || it.sent >= window.ended {
                continue;
            }
            if window.nodes.contains(&it.node) {
                comparison.cut.add(it);
            } else {
                comparison.others.add(it);
            }
        }
        comparison
    }

    /// Share of served requests at the nodes that were cut off, as a fraction of that at the others.
    pub fn ratio(&self) -> f64 {
        self.cut.share() / self.others.share().max(f64::EPSILON)
    }
}

/// Ids of requests that ran twice and must not, and of requests that were refused and ran.
pub fn broken_promises(tries: &[Try], runs: &IndexMap<String, usize>) -> Vec<String> {
    let runs_of = |it: &Try| runs.get(&it.id).copied().unwrap_or(0);
    let is_refusal = |it: &Try| matches!(it.status, 408 | 421 | 429 | 503);
    let is_broken =
        |it: &&Try| (it.class.runs_once() && runs_of(it) > 1) || (is_refusal(it) && runs_of(it) > 0);
    tries
        .iter()
        .filter(is_broken)
        .map(|it| format!("{} ({}, ran {} times)", it.id, it.status, runs_of(it)))
        .collect()
}
