//! What the model gives out.

/// One step of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token at `index` was generated.
    Token {
        /// Sequence.
        id: u64,
        /// Index of the token in the whole answer.
        index: u32,
    },
    /// The sequence has all its tokens.
    Done {
        /// Sequence.
        id: u64,
    },
}
