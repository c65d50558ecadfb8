//! The catalogue in force on this node.

use std::sync::Arc;

use catalogue::Catalogue;

/// Catalogue with its generation and text; always replaced as a whole.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Generation; 0 before the first catalogue.
    pub generation: u64,
    /// Text as written by operators.
    pub text: Arc<str>,
    /// Parsed text; `None` before the first catalogue.
    pub catalogue: Option<Arc<Catalogue>>,
}

impl Snapshot {
    /// Snapshot before the first catalogue.
    pub fn empty() -> Self {
        Self {
            generation: 0,
            text: Arc::from(""),
            catalogue: None,
        }
    }
}
