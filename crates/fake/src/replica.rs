//! Parts shared by engines and services, such as load reports and orders.

pub mod buffered;
pub mod echo;
pub mod failed;
pub mod load;
pub mod order;
pub mod orders;
pub mod run;
pub mod weights;

pub use buffered::Buffered;
pub use echo::Echo;
pub use failed::Failed;
pub use load::Load;
pub use order::Order;
pub use orders::Orders;
pub use run::Run;
pub use weights::WeightStore;
