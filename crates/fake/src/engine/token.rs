//! Deterministic tokens of a prompt.

use super::model::prompt::hash;

/// Returns the token at `index` for a prompt. It is the same on every engine and version.
pub fn token(prompt: &str, index: u32) -> String {
    let seed = hash(prompt.as_bytes());
    let hash = (seed ^ u64::from(index)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:06x} ", hash >> 40)
}

/// Returns the concatenated tokens in `start..end`.
pub fn text(prompt: &str, start: u32, end: u32) -> String {
    (start..end).map(|index| token(prompt, index)).collect()
}
