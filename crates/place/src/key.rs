//! Keys into a pool's arenas.

use slotmap::new_key_type;

new_key_type! {
    /// One incarnation of a replica.
    pub struct ReplicaKey;
    /// One dispatch that has not ended.
    pub struct DispatchKey;
}
