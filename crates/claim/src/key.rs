//! Issued keys and the secret that signs them.

mod malformed;
mod secret;
mod tag;

use std::fmt;
use std::str::FromStr;

use base::Incarnation;
use serde::{Deserialize, Serialize};

pub use malformed::Malformed;
pub use secret::{Secret, Validity};
pub use tag::Tag;

/// First part of the text form; includes the format version.
const PREFIX: &str = "blk1";
/// Number of parts in the text form.
const PARTS: usize = 4;

/// An issued key, written as `blk1-{home}-{number}-{tag}` with hexadecimal numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Home node: the only node that ever runs a request with this key.
    pub home: Incarnation,
    /// Issue number at the home node; increases by one with each key.
    pub number: u64,
    /// Authentication tag: proves that the deployment issued the key for one endpoint and workspace.
    pub tag: Tag,
}

impl Key {
    /// Prefix of the text form of every issued key.
    pub const PREFIX: &str = PREFIX;
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}-{}-{:x}-{}", self.home, self.number, self.tag)
    }
}

impl FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('-').collect();
        let [prefix, home, number, tag] = parts[..] else {
            return Err(Malformed::Parts {
                found: parts.len(),
                expected: PARTS,
            });
        };
        if prefix != PREFIX {
            return Err(Malformed::Prefix);
        }
        Ok(Self {
            home: Incarnation(parse_hex(home).ok_or(Malformed::Home)?),
            number: parse_hex(number).ok_or(Malformed::Number)?,
            tag: tag.parse()?,
        })
    }
}

/// Parses lower-case hexadecimal digits. Unlike `from_str_radix` it rejects a leading sign.
fn parse_hex(text: &str) -> Option<u64> {
    let is_lower_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !is_lower_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
