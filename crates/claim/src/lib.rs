//! Idempotency keys: at-most-once execution of requests and replay of their recorded responses.
//!
//! There are two kinds of key. [`Table`] tracks issued keys: the deployment generates them, each key names its home
//! node, and only that node runs the request. [`Ledger`] tracks chosen keys: the caller picks them, and a node claims
//! a key in the platform's key-value service before it dispatches the request. Both are state machines without IO:
//! the current time and the state of other nodes are passed in.

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
