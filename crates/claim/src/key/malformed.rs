//! Parse errors of issued keys.

use std::fmt;

/// Why a text is not a valid issued key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Wrong number of parts between dashes.
    Parts {
        /// Number of parts in the text.
        found: usize,
        /// Number of parts of a key.
        expected: usize,
    },
    /// The first part is not the key prefix.
    Prefix,
    /// The home is not a hexadecimal number.
    Home,
    /// The issue number is not a hexadecimal number.
    Number,
    /// The tag is not hexadecimal or has the wrong length.
    Tag,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parts { found, expected } => {
                write!(
                    f,
                    "the key has {found} parts between dashes instead of {expected}"
                )?;
            }
            Self::Prefix => f.write_str("the key does not start with `blk1`")?,
            Self::Home => f.write_str("the key's second part is not a hexadecimal number")?,
            Self::Number => f.write_str("the key's third part is not a hexadecimal number")?,
            Self::Tag => f.write_str("the key's fourth part is not 48 hexadecimal digits")?,
        }
        f.write_str("; send the key exactly as it was issued")
    }
}

impl std::error::Error for Malformed {}
