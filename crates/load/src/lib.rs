//! Load and experiment tool: open-loop arrivals, callers, fault schedules, reports and history checks.

pub mod history;
