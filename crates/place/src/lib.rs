//! Replica selection, admission and retry decisions for nodes that share replicas.
//!
//! A [`Pool`] holds the replicas of one endpoint as one node sees them. Other nodes send requests to the same replicas
//! without coordination, so nothing here assumes a single sender. Rendezvous hashing, which gives the same result on
//! every node, maps a prompt to the replica that caches its shared parts. The load of a replica combines the node's own
//! requests in flight, the reports of other nodes and the load that the replica reports in its answers.

mod attempts;
mod cold;
mod demand;
mod dispatch;
mod durations;
mod error;
mod health;
pub mod intermediary;
mod key;
mod load;
mod pace;
mod pool;
mod prefill;
mod rate_limit;
mod reach;
mod refusal;
mod rendezvous;
mod replica;
mod response;
mod senders;
mod settings;
pub mod shutdown;
mod spec;
mod trial;
mod work;
mod zones;

pub use attempts::{Attempts, Denial};
pub use cold::ColdRate;
pub use demand::{Demand, Part, VersionFilter};
pub use dispatch::DispatchOutcome;
pub use error::{Assessment, DispatchError, Execution, promises_not_run};
pub use key::{DispatchKey, ReplicaKey};
pub use load::{Load, PeerLoad, PeerReport};
pub use pace::{CacheBasis, PeerPace};
pub use pool::{Choice, Destination, EndpointSpeed, ForwardError, Occupancy, PaceEvent, Pool, Speed};
pub use rate_limit::PeerLimit;
pub use reach::ReachChange;
pub use refusal::Refusal;
pub use rendezvous::hash;
pub use response::{Claim, Echo, is_status};
pub use senders::{Roster, Senders, Times};
pub use settings::Settings;
pub use spec::{Spec, State};
pub use work::Work;
pub use zones::Zones;
