//! Steps of a schedule.

use quickcheck::{Arbitrary, Gen};

/// One step; small numbers choose among what there is at the time.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Issue { node: u8 },
    Arrive { node: u8, key: u8, other: bool },
    Dispatch { run: u8 },
    Finish { run: u8, how: u8 },
    Leave { call: u8 },
    Seal { node: u8 },
    Export { node: u8, heir: u8, lost: u8 },
    Kill { node: u8 },
    Cut { node: u8 },
    Stale { run: u8, finish: bool },
    Pass { millis: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u8::arbitrary(g) % 3;
        let other = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..5 => Self::Issue { node },
            5..15 => Self::Arrive {
                node,
                key: other,
                other: u8::arbitrary(g) % 16 == 0,
            },
            15..20 => Self::Dispatch { run: other },
            20..25 => Self::Finish {
                run: other,
                how: u8::arbitrary(g),
            },
            25 => Self::Leave { call: other },
            26 => Self::Seal { node },
            27 => Self::Export {
                node,
                heir: other % 3,
                lost: u8::arbitrary(g),
            },
            28 => Self::Kill { node },
            29 => Self::Cut { node },
            30 => Self::Stale {
                run: other,
                finish: bool::arbitrary(g),
            },
            _ => Self::Pass { millis: other },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Arrive { node, key, other } => {
                Box::new(key.shrink().map(move |key| Self::Arrive { node, key, other }))
            }
            Self::Dispatch { run } => Box::new(run.shrink().map(|run| Self::Dispatch { run })),
            Self::Finish { run, how } => Box::new(run.shrink().map(move |run| Self::Finish { run, how })),
            Self::Pass { millis } => Box::new(millis.shrink().map(|millis| Self::Pass { millis })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
