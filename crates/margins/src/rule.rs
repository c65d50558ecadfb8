//! The rules of the users' pages, one module each.

mod attempts;
mod blind;
mod config;
mod drain;
mod exposure;
mod limit;
mod lost;
mod pause;
mod quota;
mod repeats;
mod view;

use crate::{Bounded, Bounds, Event, Margin, Name, Names, Overflow, Time};

/// What all rules need to judge an event.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The users' bounds.
    pub bounds: &'a Bounds,
    /// The names in events.
    pub names: &'a Names,
}

/// All rules.
#[derive(Debug, Default)]
pub struct Rules {
    drain: drain::Drain,
    lost: lost::Lost,
    attempts: attempts::Attempts,
    repeats: repeats::Repeats,
    pause: pause::Pause,
    limit: limit::Limit,
    quota: quota::Quota,
    config: config::Config,
    view: view::View,
    exposure: exposure::Exposure,
}

impl Rules {
    /// Judges an event. Events come in the order of their times.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        self.drain.apply(at, event, context);
        self.lost.apply(at, event, context);
        self.attempts.apply(at, event, context);
        self.repeats.apply(at, event, context);
        self.pause.apply(at, event, context);
        self.limit.apply(at, event, context);
        self.quota.apply(at, event, context);
        self.config.apply(at, event, context);
        self.view.apply(at, event, context);
        self.exposure.apply(at, event, context);
    }

    /// Judges what is still open at the end of the logs. `nodes` has the time of each node's last line.
    pub fn finish(&mut self, nodes: &Bounded<Name, Time>, context: Context<'_>) {
        self.repeats.finish(context);
        self.config.finish(nodes, context);
        self.exposure.finish(context);
    }

    /// The margins in the order of the report.
    pub fn margins(&self) -> Vec<&Margin> {
        let mut margins = Vec::new();
        margins.extend(self.drain.margins());
        margins.extend(self.lost.margins());
        margins.push(self.attempts.margin());
        margins.push(self.repeats.margin());
        margins.push(self.pause.margin());
        margins.push(self.limit.margin());
        margins.push(self.quota.margin());
        margins.extend(self.config.margins());
        margins.push(self.view.margin());
        margins.extend(self.exposure.margins());
        margins.extend(&blind::MARGINS);
        margins
    }

    /// What the rules had no room for.
    pub fn overflows(&self) -> Vec<Overflow> {
        let counts = [
            ("DRAIN: replicas", self.drain.overflow()),
            (
                "BUDGET: endpoints, or requests of an endpoint",
                self.repeats.overflow(),
            ),
            ("BUDGET: replicas that want no requests", self.pause.overflow()),
            (
                "LIMIT: replicas that named a limit, or requests to one",
                self.limit.overflow(),
            ),
            (
                "QUOTA: workspaces, or requests of a workspace",
                self.quota.overflow(),
            ),
            ("CONFIG: nodes or versions", self.config.overflow()),
            ("EXPOSURE: replicas", self.exposure.overflow()),
        ];
        let counts = counts.into_iter().filter(|(_, count)| *count > 0);
        counts.map(|(what, count)| Overflow { what, count }).collect()
    }
}
