//! Idempotency keys: who may run a request, and what every repeat is told.
//!
//! Two kinds of key. [`Table`] keeps the keys that this deployment issued: a key names its home node, and only
//! that node ever runs it. [`Ledger`] claims the keys that callers chose in the platform's key-value service before
//! anything is dispatched. Both are pure: time and knowledge of other nodes are passed in.

pub mod answer;
pub mod binding;
pub mod call;
pub mod completion;
pub mod fingerprint;
pub mod handover;
pub mod key;
pub mod ledger;
pub mod reason;
pub mod record;
pub mod table;

pub use answer::Answer;
pub use binding::Binding;
pub use call::Call;
pub use completion::Completion;
pub use fingerprint::Fingerprint;
pub use handover::Handover;
pub use key::{Key, Secret};
pub use ledger::Ledger;
pub use reason::Reason;
pub use record::{Header, Record};
pub use table::Table;
