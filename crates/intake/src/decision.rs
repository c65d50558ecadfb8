//! What becomes of a request that needs more memory.

use crate::Key;

/// Whether a request may hold more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may.
    Granted,
    /// It has to wait until memory is released.
    Wait,
    /// It has to wait, and this request is to be given up.
    Evict(Key),
    /// It is to be given up itself.
    Refused,
}
