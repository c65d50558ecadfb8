//! Random operations. An index `pick` is taken modulo the number of candidates.

use quickcheck::{Arbitrary, Gen};

/// How a dispatch ends in a random run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    Refused,
    ResetBefore,
    Reset,
    Rejected,
    ServerError,
    Interrupted,
}

pub const ENDS: [End; 7] = [
    End::Complete,
    End::Refused,
    End::ResetBefore,
    End::Reset,
    End::Rejected,
    End::ServerError,
    End::Interrupted,
];

/// One random operation.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    Arrive { workspace: u8, wait: u16, flags: u8 },
    Sent(u8),
    FirstToken(u8),
    Finish { pick: u8, end: End },
    Cancel(u8),
    Leave(u8),
    Gone(u8),
    Add(u8),
    Report { pick: u8, running: u8 },
    SetShare { workspace: u8, share: u8 },
    Advance(u16),
    PrefixCached { pick: u8, prefix: u8 },
    RemoveEndpoint,
    RemoveWorkspace(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u16::arbitrary(g) % 200 {
            0..80 => Self::Arrive {
                workspace: pick,
                wait: u16::arbitrary(g) % 3_000,
                flags: u8::arbitrary(g),
            },
            80..90 => Self::Sent(pick),
            90..100 => Self::FirstToken(pick),
            100..120 => Self::Finish {
                pick,
                end: End::Complete,
            },
            120..150 => Self::Finish {
                pick,
                end: *g.choose(&ENDS).expect("`ENDS` is not empty"),
            },
            150..154 => Self::Cancel(pick),
            154..157 => Self::Leave(pick),
            157..159 => Self::Gone(pick),
            159..163 => Self::Add(pick),
            163..169 => Self::Report {
                pick,
                running: u8::arbitrary(g) % 16,
            },
            169..173 => Self::SetShare {
                workspace: pick,
                share: u8::arbitrary(g) % 12,
            },
            173..195 => Self::Advance(u16::arbitrary(g) % 400),
            195..198 => Self::PrefixCached {
                pick,
                prefix: u8::arbitrary(g),
            },
            198 => Self::RemoveWorkspace(pick),
            _ if u8::arbitrary(g) < 16 => Self::RemoveEndpoint,
            _ => Self::Advance(2_000),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Self::Arrive {
                workspace,
                wait,
                flags,
            } => {
                let smaller = (workspace, wait, flags).shrink();
                Box::new(smaller.map(|(workspace, wait, flags)| Self::Arrive {
                    workspace,
                    wait,
                    flags,
                }))
            }
            Self::Advance(span) => Box::new(span.shrink().map(Self::Advance)),
            Self::Finish { pick, end } if end != End::Complete => Box::new(std::iter::once(Self::Finish {
                pick,
                end: End::Complete,
            })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}
