//! QUOTA: tokens of a workspace over all nodes.

use super::Context;
use crate::window::Window;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of workspaces.
const MAX_WORKSPACES: usize = 1 << 16;

/// The margin of tokens against the workspaces' limits.
#[derive(Debug)]
pub struct Quota {
    margin: Margin,
    workspaces: Bounded<Name, Window>,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            margin: Margin::new("QUOTA", "tokens of a workspace in a window, all nodes"),
            workspaces: Bounded::new(MAX_WORKSPACES),
        }
    }
}

impl Quota {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let Event::Arrived(arrival) = event else { return };
        let Some(workspace) = arrival.workspace.filter(|_| arrival.may_have_run) else {
            return;
        };
        let Some(tokens) = arrival.tokens else {
            self.margin.lacks = "tokens of admitted requests";
            self.margin.is_blind = true;
            return;
        };
        let Some(window_ms) = context.bounds.quota_window_ms.map(|it| it as i64) else {
            return self.margin.skip();
        };
        let Some(window) = self.workspaces.get_or_insert_with(workspace, Window::default) else {
            return;
        };
        let bound = context.bounds.quota(context.names.text(workspace));
        window.push(at, tokens);
        window.trim(at - window_ms);
        let sum = window.sum(at - window_ms, at);
        let place = Place::new(at)
            .with_node(arrival.node)
            .with_subject(workspace)
            .with_request(&arrival.request);
        self.margin
            .see(sum as f64, bound.filter(|_| window_ms > 0), place);
    }

    /// The margin.
    pub const fn margin(&self) -> &Margin {
        &self.margin
    }

    /// Number of workspaces and requests that there was no room for.
    pub fn overflow(&self) -> u64 {
        let windows = self.workspaces.iter().map(|(_, window)| window.overflow());
        self.workspaces.overflow() + windows.sum::<u64>()
    }
}
