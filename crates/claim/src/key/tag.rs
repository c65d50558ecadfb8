//! Authentication tag of an issued key.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::malformed::Malformed;

/// Length of the hash over home and number, in bytes.
pub(super) const ORIGIN_LEN: usize = 8;
/// Length of the hash over home, number, endpoint and workspace, in bytes.
pub(super) const BINDING_LEN: usize = 16;
/// Length of a tag, in bytes.
const LEN: usize = ORIGIN_LEN + BINDING_LEN;

/// Two keyed hashes: `origin` covers home and number, `binding` also covers endpoint and workspace.
///
/// Only `binding` authorizes a request. `origin` distinguishes a key of another endpoint or workspace from a forged
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tag {
    pub(super) origin: [u8; ORIGIN_LEN],
    #[serde(rename = "bound")]
    pub(super) binding: [u8; BINDING_LEN],
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.origin.iter().chain(&self.binding) {
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
            *byte = hex_digit(digits[0])? << 4 | hex_digit(digits[1])?;
        }
        let mut tag = Self {
            origin: [0; ORIGIN_LEN],
            binding: [0; BINDING_LEN],
        };
        tag.origin.copy_from_slice(&bytes[..ORIGIN_LEN]);
        tag.binding.copy_from_slice(&bytes[ORIGIN_LEN..]);
        Ok(tag)
    }
}

const fn hex_digit(byte: u8) -> Result<u8, Malformed> {
    match byte {
        b'0'..=b'9' => Ok(byte - b'0'),
        b'a'..=b'f' => Ok(byte - b'a' + 10),
        _ => Err(Malformed::Tag),
    }
}
