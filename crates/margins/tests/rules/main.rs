//! Margins of the rules: for each one case just inside and one just outside the bound, and what is no case at all.

mod bounds;
mod budget;
mod config;
mod departures;
mod drain;
mod exposure;
mod limit;
mod lines;
mod lost;
mod quota;
mod sources;
mod support;
mod view;
mod windows;
