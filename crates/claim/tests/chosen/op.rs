//! Steps of a schedule.

use quickcheck::{Arbitrary, Gen};

/// One step; small numbers choose among what there is at the time.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Want {
        node: u8,
        key: u8,
        other: bool,
    },
    /// A request to the service is answered, lost or refused.
    Serve {
        request: u8,
        how: u8,
    },
    /// A request is answered, and runs as far as its dispatch.
    Round {
        node: u8,
        key: u8,
    },
    /// All requests of a node are answered, for some rounds.
    Settle {
        node: u8,
        rounds: u8,
    },
    /// A request whose sender was told that it is lost takes effect after all.
    Ghost {
        request: u8,
    },
    Dispatch {
        run: u8,
    },
    Finish {
        run: u8,
        how: u8,
    },
    Leave {
        call: u8,
    },
    Seal {
        node: u8,
    },
    Restart {
        node: u8,
    },
    Pause {
        node: u8,
    },
    Outage,
    Pass {
        millis: u8,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u8::arbitrary(g) % 3;
        let other = u8::arbitrary(g);
        let how = u8::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..9 => Self::Want {
                node,
                key: other,
                other: how.is_multiple_of(16),
            },
            9..17 => Self::Serve { request: other, how },
            17..22 => Self::Settle {
                node,
                rounds: other % 8,
            },
            22..34 => Self::Round { node, key: other },
            34..37 => Self::Ghost { request: other },
            37..43 => Self::Dispatch { run: other },
            43..50 => Self::Finish { run: other, how },
            50 => Self::Leave { call: other },
            51 => Self::Seal { node },
            52 => Self::Restart { node },
            53..55 => Self::Pause { node },
            55 => Self::Outage,
            56..62 => Self::Pass { millis: other % 16 },
            _ => Self::Pass { millis: other },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Want { node, key, other } => {
                Box::new(key.shrink().map(move |key| Self::Want { node, key, other }))
            }
            Self::Serve { request, how } => {
                Box::new(how.shrink().map(move |how| Self::Serve { request, how }))
            }
            Self::Finish { run, how } => Box::new(run.shrink().map(move |run| Self::Finish { run, how })),
            Self::Pass { millis } => Box::new(millis.shrink().map(|millis| Self::Pass { millis })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
