//! Membership: nodes, incarnations, views, digests and leased roles with fencing numbers.
