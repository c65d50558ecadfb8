//! The catalogue in force at this node.

use std::sync::Arc;

use catalogue::Catalogue;

/// A catalogue with its generation and text; replaced as a whole.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Its generation; 0 before the first catalogue.
    pub generation: u64,
    /// Its text, as operators wrote it.
    pub text: Arc<str>,
    /// The parsed text; none before the first catalogue.
    pub catalogue: Option<Arc<Catalogue>>,
}

impl Snapshot {
    /// No catalogue yet.
    pub fn empty() -> Self {
        Self {
            generation: 0,
            text: Arc::from(""),
            catalogue: None,
        }
    }
}
