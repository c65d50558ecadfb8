//! Identifiers of calls.

slotmap::new_key_type! {
    /// Identifies one request that waits for an answer at this node.
    ///
    /// Each arrival gets its own `Call`, even if it repeats a key.
    pub struct Call;
}
