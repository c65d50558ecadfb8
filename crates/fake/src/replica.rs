//! What engines and services have in common: load reports and orders.

pub mod echo;
pub mod failed;
pub mod load;
pub mod order;
pub mod orders;
pub mod run;
pub mod weights;
pub mod whole;

pub use echo::Echo;
pub use failed::Failed;
pub use load::Load;
pub use order::Order;
pub use orders::Orders;
pub use run::Run;
pub use weights::Weights;
pub use whole::Whole;
