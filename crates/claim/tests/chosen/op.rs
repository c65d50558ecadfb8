//! Operations of a schedule.

use quickcheck::{Arbitrary, Gen};

/// One operation. Numbers select among the items that exist when it is applied.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Arrive {
        node: u8,
        key: u8,
        other_body: bool,
    },
    /// The service answers, loses or refuses one request.
    Serve {
        request: u8,
        result: u8,
    },
    /// A call arrives, all requests to the service are answered, and the run asks for its dispatch.
    ArriveAndDispatch {
        node: u8,
        key: u8,
    },
    /// The service answers up to `rounds` requests of a node.
    ServeAll {
        node: u8,
        rounds: u8,
    },
    /// A request that was reported as failed takes effect late.
    ApplyDelayed {
        request: u8,
    },
    Dispatch {
        run: u8,
    },
    Finish {
        run: u8,
        result: u8,
    },
    Disconnect {
        call: u8,
    },
    Drain {
        node: u8,
    },
    Restart {
        node: u8,
    },
    TogglePause {
        node: u8,
    },
    ToggleOutage,
    Advance {
        millis: u8,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = u8::arbitrary(g) % 3;
        let choice = u8::arbitrary(g);
        let result = u8::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..9 => Self::Arrive {
                node,
                key: choice,
                other_body: result.is_multiple_of(16),
            },
            9..17 => Self::Serve {
                request: choice,
                result,
            },
            17..22 => Self::ServeAll {
                node,
                rounds: choice % 8,
            },
            22..34 => Self::ArriveAndDispatch { node, key: choice },
            34..37 => Self::ApplyDelayed { request: choice },
            37..43 => Self::Dispatch { run: choice },
            43..50 => Self::Finish { run: choice, result },
            50 => Self::Disconnect { call: choice },
            51 => Self::Drain { node },
            52 => Self::Restart { node },
            53..55 => Self::TogglePause { node },
            55 => Self::ToggleOutage,
            56..62 => Self::Advance { millis: choice % 16 },
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
            Self::Serve { request, result } => {
                Box::new(result.shrink().map(move |result| Self::Serve { request, result }))
            }
            Self::Finish { run, result } => {
                Box::new(run.shrink().map(move |run| Self::Finish { run, result }))
            }
            Self::Advance { millis } => Box::new(millis.shrink().map(|millis| Self::Advance { millis })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
