//! What of a request may crash the replica that runs it.

/// The request itself, and the prompt parts that it shares with others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    /// The id of what the caller asks for, then those of the parts.
    ids: Vec<u64>,
}

impl Suspects {
    /// The suspects of a request that asks for `content` and shares these parts of its prompt with others.
    pub fn new<P>(content: u64, parts: P) -> Self
    where
        P: IntoIterator<Item = u64>,
    {
        let mut ids = vec![content];
        ids.extend(parts);
        Self { ids }
    }

    /// All ids, that of the request first.
    pub fn ids(&self) -> &[u64] {
        &self.ids
    }

    /// The request's id; `None` for the default value.
    pub fn request(&self) -> Option<u64> {
        self.ids.first().copied()
    }

    /// Ids of the parts.
    pub fn parts(&self) -> &[u64] {
        self.ids.get(1..).unwrap_or_default()
    }
}
