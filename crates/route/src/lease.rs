//! A workspace's limit, divided among nodes by leases that follow demand and never sum above it.
//!
//! The node that holds the endpoint's role keeps a [`Allocator`] for each workspace; every node keeps a [`Holder`]
//! and asks again and again. No clocks are compared: a holder counts a lease from the moment it asked, the ledger
//! from the later moment it granted, so the holder's copy always ends first.

pub mod allocator;
pub mod grant;
pub mod holder;
pub mod request;

pub use allocator::Allocator;
pub use grant::Grant;
pub use holder::Holder;
pub use request::Request;
