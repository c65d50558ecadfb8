//! Operations of a schedule.

use quickcheck::{Arbitrary, Gen};

/// One operation. Numbers select among the items that exist when it is applied.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Issue { node: u8 },
    Arrive { node: u8, key: u8, other_body: bool },
    Dispatch { run: u8 },
    Finish { run: u8, result: u8 },
    Disconnect { call: u8 },
    Drain { node: u8 },
    Export { node: u8, successor: u8, lost_piece: u8 },
    Crash { node: u8 },
    TogglePartition { node: u8 },
    Stale { run: u8, finish: bool },
    Advance { millis: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u8::arbitrary(g) % 3;
        let choice = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..5 => Self::Issue { node },
            5..15 => Self::Arrive {
                node,
                key: choice,
                other_body: u8::arbitrary(g) % 16 == 0,
            },
            15..20 => Self::Dispatch { run: choice },
            20..25 => Self::Finish {
                run: choice,
                result: u8::arbitrary(g),
            },
            25 => Self::Disconnect { call: choice },
            26 => Self::Drain { node },
            27 => Self::Export {
                node,
                successor: choice % 3,
                lost_piece: u8::arbitrary(g),
            },
            28 => Self::Crash { node },
            29 => Self::TogglePartition { node },
            30 => Self::Stale {
                run: choice,
                finish: bool::arbitrary(g),
            },
            _ => Self::Advance { millis: choice },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Arrive {
                node,
                key,
                other_body,
            } => Box::new(key.shrink().map(move |key| Self::Arrive {
                node,
                key,
                other_body,
            })),
            Self::Dispatch { run } => Box::new(run.shrink().map(|run| Self::Dispatch { run })),
            Self::Finish { run, result } => {
                Box::new(run.shrink().map(move |run| Self::Finish { run, result }))
            }
            Self::Advance { millis } => Box::new(millis.shrink().map(|millis| Self::Advance { millis })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
