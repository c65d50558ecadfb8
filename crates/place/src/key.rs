//! Keys of a pool's slot maps.

use slotmap::new_key_type;

new_key_type! {
    /// Key of one incarnation of a replica.
    pub struct ReplicaKey;
    /// Key of one dispatch in flight.
    pub struct DispatchKey;
}
