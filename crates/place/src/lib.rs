//! Choice of a replica, admission and outcomes where many nodes share the replicas.
//!
//! One [`Pool`] holds the replicas of an endpoint as one node sees them. Other nodes send to the same replicas
//! without asking, so nothing here counts on being the only sender: prompts find the replica that holds their shared
//! parts by rendezvous hashing, which every node computes alike, and load is the node's own requests in flight plus
//! what the replica's answers say.

mod demand;
mod flight;
mod health;
mod key;
pub mod last;
mod load;
mod outcome;
mod pool;
mod rank;
mod refusal;
mod replica;
mod settings;
mod spec;
mod speed;

pub use demand::{Demand, Part, Want};
pub use flight::End;
pub use key::{FlightKey, ReplicaKey};
pub use load::{Load, PeerLoad, Word};
pub use outcome::{Event, Fate, Verdict, is_promise};
pub use pool::{Choice, Pool};
pub use rank::name as hash;
pub use refusal::Refusal;
pub use settings::Settings;
pub use spec::{Spec, State};
