//! Names of calls.

slotmap::new_key_type! {
    /// One request of a caller that waits at this node; the node's arena of calls hands it out.
    ///
    /// NB: each arrival is a call of its own, also when it repeats a key.
    pub struct Call;
}
