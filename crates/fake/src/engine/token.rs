//! The tokens that a prompt leads to.

use super::model::prompt::hash;

/// The token at `index` for a prompt: a pure function, the same on every engine and version.
pub fn token(prompt: &str, index: u32) -> String {
    let seed = hash(prompt.as_bytes());
    let hash = (seed ^ u64::from(index)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:06x} ", hash >> 40)
}

/// The tokens from `from` up to `until`, joined.
pub fn text(prompt: &str, start: u32, end: u32) -> String {
    (start..end).map(|index| token(prompt, index)).collect()
}
