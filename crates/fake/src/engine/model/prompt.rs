//! A prompt as the cache sees it.

/// Bytes that make one token.
const TOKEN_BYTES: usize = 4;
/// Tokens that make one block of the cache.
pub const BLOCK_TOKENS: u32 = 16;
/// Bytes that make one block of the cache.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS as usize;

/// Start and factor of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A prompt's length and the hashes of its prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Hash of the first block, of the first two, and so on; a last part of a block is left out.
    pub blocks: Vec<u64>,
}

impl Prompt {
    /// The prompt of a text: four bytes are a token. A prefix's hash is FNV-1a (64 bits) over its bytes.
    pub fn new(text: &[u8]) -> Self {
        let mut state = FNV_BASIS;
        let mut blocks = Vec::with_capacity(text.len() / BLOCK_BYTES);
        for block in text.chunks_exact(BLOCK_BYTES) {
            state = fnv1a(state, block);
            blocks.push(state);
        }
        Self {
            tokens: text.len().div_ceil(TOKEN_BYTES) as u32,
            blocks,
        }
    }
}

/// FNV-1a (64 bits) of a text.
pub fn hash(text: &[u8]) -> u64 {
    fnv1a(FNV_BASIS, text)
}

fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
