//! The signed part of a key.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::malformed::Malformed;

/// Bytes that sign home and number.
pub(super) const ORIGIN: usize = 8;
/// Bytes that sign home, number, endpoint and workspace.
pub(super) const BOUND: usize = 16;
/// Bytes of a tag.
const LEN: usize = ORIGIN + BOUND;

/// Two keyed hashes: one over the key's origin, one over origin and binding.
///
/// The first only tells a key of another endpoint from a forged one; the second alone admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tag {
    pub(super) origin: [u8; ORIGIN],
    pub(super) bound: [u8; BOUND],
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.origin.iter().chain(&self.bound) {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Tag {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != LEN * 2 {
            return Err(Malformed::Tag);
        }
        let mut bytes = [0; LEN];
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = digit(digits[0])? << 4 | digit(digits[1])?;
        }
        let mut tag = Self {
            origin: [0; ORIGIN],
            bound: [0; BOUND],
        };
        tag.origin.copy_from_slice(&bytes[..ORIGIN]);
        tag.bound.copy_from_slice(&bytes[ORIGIN..]);
        Ok(tag)
    }
}

const fn digit(byte: u8) -> Result<u8, Malformed> {
    match byte {
        b'0'..=b'9' => Ok(byte - b'0'),
        b'a'..=b'f' => Ok(byte - b'a' + 10),
        _ => Err(Malformed::Tag),
    }
}
