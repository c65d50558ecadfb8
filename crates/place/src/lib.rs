//! Choice of a replica, admission and outcomes where many nodes share the replicas.
//!
//! One [`Pool`] holds the replicas of an endpoint as one node sees them. Other nodes send to the same replicas
//! without asking, so nothing here counts on being the only sender: prompts find the replica that holds their shared
//! parts by rendezvous hashing, which every node computes alike, and load is the node's own requests in flight plus
//! what the replica's answers say.

mod demand;
mod dispatch;
mod error;
mod health;
mod key;
mod load;
mod pool;
mod prefill;
mod refusal;
mod rendezvous;
mod replica;
mod settings;
pub mod shutdown;
mod spec;

pub use demand::{Demand, Part, VersionFilter};
pub use dispatch::Outcome;
pub use error::{Assessment, DispatchError, Execution, promises_not_run};
pub use key::{DispatchKey, ReplicaKey};
pub use load::{Load, PeerLoad, PeerReport};
pub use pool::{Choice, Pool};
pub use refusal::Refusal;
pub use rendezvous::hash;
pub use settings::Settings;
pub use spec::{Spec, State};
