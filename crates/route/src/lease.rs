//! Leases that divide a workspace's limit among nodes by demand, without ever exceeding it in total.
//!
//! The node that holds the endpoint's role keeps an [`Allocator`] for each workspace. Every node keeps a [`Holder`]
//! and requests its lease periodically. Clocks of different nodes are never compared: the holder counts a lease from
//! the time of its request and the allocator from the later time of the grant, so the lease always expires at the
//! holder first.

pub mod allocator;
pub mod grant;
pub mod holder;
pub mod request;

pub use allocator::Allocator;
pub use grant::Grant;
pub use holder::Holder;
pub use request::Request;
