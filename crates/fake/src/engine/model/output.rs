//! Output of the engine model.

/// Progress of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token at `index` was generated.
    Token {
        /// Id of the sequence.
        id: u64,
        /// Index of the token in the response.
        index: u32,
    },
    /// All tokens of the sequence were generated.
    Done {
        /// Id of the sequence.
        id: u64,
    },
}
