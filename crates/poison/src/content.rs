//! What a caller asks for.

/// What a caller asks for, whichever attempt it is and whichever node it reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The `Host` header; empty if there is none.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Name of the caller's workspace; empty if the route requires none.
    pub workspace: &'a [u8],
    /// The whole body, in pieces.
    pub body: &'a [&'a [u8]],
}

impl Content<'_> {
    /// An id that is the same at all nodes and in all builds.
    pub fn id(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let fields: [&[&[u8]]; 5] = [
            &[self.method.as_bytes()],
            &[self.host],
            &[self.target.as_bytes()],
            &[self.workspace],
            self.body,
        ];
        for field in fields {
            let length: usize = field.iter().map(|piece| piece.len()).sum();
            // Otherwise the end of one field could be taken for the start of the next.
            hasher.update(&(length as u64).to_le_bytes());
            for piece in field {
                hasher.update(piece);
            }
        }
        let mut id = [0; 8];
        hasher.finalize_xof().fill(&mut id);
        u64::from_le_bytes(id)
    }
}
