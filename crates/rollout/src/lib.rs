//! Gradual rollouts of new versions: canary traffic, sequential comparison, vetoes and rollback.
//!
//! Each endpoint has one [`Controller`], a leased role, which raises the share of the new version as the
//! evidence allows. On each node a [`Split`] draws the version of every request, and a [`Guard`] compares the
//! two versions on the same route at the same time and can veto a bad one without the controller. The crate
//! does no I/O: the caller passes in time and random draws and keeps the durable state, a [`Record`], in the
//! store.
//!
//! Rollouts with a deadline of a few seconds use [`fast`] only.
//!
//! What a node must do:
//!
//! - Pass announced [`Shares`] to its split and, if the split accepts them as newer, to its guard.
//! - Draw the version of each attempt with [`Split::choose`].
//! - Report the start and, without exception, the end of each attempt to the guard, with the same
//!   [`Assignment`].
//! - Merge every [`Veto`] into its [`Vetoes`], pass new ones to the split, the guard and its peers, and pass
//!   all of them to a controller that acquires its role.
//! - Send [`Guard::summary`] to the controller every [`summary::interval`]. The time of a report must not
//!   depend on its content, or the error rate of the test no longer holds.

pub mod action;
pub mod arm;
pub mod assignment;
pub mod choice;
pub mod controller;
pub mod counts;
pub mod event;
pub mod evidence;
pub mod exclusions;
pub mod fast;
pub mod guard;
pub mod id;
pub mod plan;
pub mod ratio;
pub mod record;
pub mod sequential_test;
pub mod share;
pub mod shares;
pub mod signal;
pub mod split;
pub mod stage;
pub mod summary;
pub mod veto;
pub mod vetoes;
pub mod wall_time;

pub use action::Action;
pub use arm::Arm;
pub use assignment::Assignment;
pub use choice::Choice;
pub use controller::Controller;
pub use counts::Counts;
pub use event::Event;
pub use evidence::Evidence;
pub use exclusions::Exclusions;
pub use guard::Guard;
pub use id::Id;
pub use plan::Plan;
pub use ratio::Ratio;
pub use record::{Record, Step, Stored, WriteId};
pub use sequential_test::SequentialTest;
pub use share::Share;
pub use shares::Shares;
pub use signal::Signal;
pub use split::Split;
pub use stage::{Reason, Stage, Verdict};
pub use summary::Summary;
pub use veto::Veto;
pub use vetoes::Vetoes;
pub use wall_time::WallTime;
