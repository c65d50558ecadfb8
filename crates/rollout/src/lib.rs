//! Rollouts: canary shares, evidence, vetoes, done and undone.
//!
//! A [`Controller`] (one an endpoint, a leased role) moves the share of the new version up as the evidence
//! allows. On each node a [`Split`] draws the version of every request, and a [`Guard`] compares the two
//! versions on the same route at the same time and vetoes a bad one by itself. Everything here is pure: time
//! and random draws are passed in, and what must last is a [`Record`] that the caller keeps in the store.
//!
//! Moves that must be done within seconds are decided by [`fast`] alone.
//!
//! A node passes announced [`Shares`] to its split and, if they were news, to its guard; draws each attempt's
//! version with [`Split::choose`]; tells the guard of the attempt's start and, always, of its end, with the same
//! [`Assignment`]; merges every [`Veto`] into its [`Vetoes`], passes what is new to split, guard and peers, and all
//! of them to a controller that takes up its role; and sends [`Guard::summary`] to the controller every
//! [`summary::interval`]. Reports must not be timed by what they say, or the error rate no longer holds.

pub mod action;
pub mod arm;
pub mod assignment;
pub mod choice;
pub mod controller;
pub mod counts;
pub mod event;
pub mod evidence;
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
