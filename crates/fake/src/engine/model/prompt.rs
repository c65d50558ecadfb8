//! Prompts in the form that the prefix cache uses.

/// Bytes per token.
const TOKEN_BYTES: usize = 4;
/// Tokens per cache block.
pub const BLOCK_TOKENS: u32 = 16;
/// Bytes per cache block.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS as usize;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Length of a prompt and the hashes of its prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Hashes of the first block, of the first two blocks, and so on, without a partial last block.
    pub blocks: Vec<u64>,
}

impl Prompt {
    /// Creates the prompt of a text. Four bytes make a token.
    /// The hash of a prefix is the 64-bit FNV-1a hash of its bytes.
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

/// Returns the 64-bit FNV-1a hash of a text.
pub fn hash(text: &[u8]) -> u64 {
    fnv1a(FNV_BASIS, text)
}

fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
