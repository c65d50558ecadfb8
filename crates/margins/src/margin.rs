//! How close one rule came to breaking.

use crate::event::Id;
use crate::{Name, Time};

/// Where a case was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// When.
    pub at: Time,
    /// At which node.
    pub node: Option<Name>,
    /// For which replica, endpoint, route or workspace.
    pub subject: Option<Name>,
    /// For which request.
    pub request: Option<Id>,
}

impl Place {
    /// Creates a place without a node, subject and request.
    pub const fn new(at: Time) -> Self {
        Self {
            at,
            node: None,
            subject: None,
            request: None,
        }
    }

    /// Sets the node.
    pub const fn with_node(mut self, node: Name) -> Self {
        self.node = Some(node);
        self
    }

    /// Sets the subject.
    pub const fn with_subject(mut self, subject: Name) -> Self {
        self.subject = Some(subject);
        self
    }

    /// Sets the request.
    pub fn with_request(mut self, request: &Id) -> Self {
        self.request = Some(Id::clone(request));
        self
    }
}

/// A case and its bound, if one was given.
#[derive(Clone, Debug, PartialEq)]
pub struct Worst {
    /// The value.
    pub value: f64,
    /// What it may be at most.
    pub bound: Option<f64>,
    /// Where it was seen; `None` if the value is zero because nothing was seen.
    pub place: Option<Place>,
}

impl Worst {
    /// The value as a share of the bound. Any value above a bound of zero has an infinite share.
    pub fn share(&self) -> Option<f64> {
        let bound = self.bound?;
        Some(if bound > 0.0 {
            self.value / bound
        } else if self.value > 0.0 {
            f64::INFINITY
        } else {
            0.0
        })
    }

    /// Whether this is worse than another case: a larger share of the bound, or a larger value if the shares are equal. A
    /// case with a bound goes before one without, and of two equal ones one with a place before one without.
    fn is_worse_than(&self, other: &Self) -> bool {
        let order = match (self.share(), other.share()) {
            (Some(own), Some(other)) => own.total_cmp(&other),
            (own, other) => own.is_some().cmp(&other.is_some()),
        };
        let order = order.then(self.value.total_cmp(&other.value));
        order
            .then(self.place.is_some().cmp(&other.place.is_some()))
            .is_gt()
    }
}

/// How close one rule came to breaking.
#[derive(Clone, Debug, PartialEq)]
pub struct Margin {
    /// The rule.
    pub rule: &'static str,
    /// What is measured.
    pub measure: &'static str,
    /// Number of cases that were looked at.
    pub cases: u64,
    /// Number of these without a bound.
    pub unbounded: u64,
    /// The worst case.
    pub worst: Option<Worst>,
    /// What the logs lack for this rule; empty if nothing.
    pub lacks: &'static str,
    /// Whether the logs hold nothing on this rule.
    pub is_blind: bool,
}

impl Margin {
    /// Creates a margin without cases.
    pub const fn new(rule: &'static str, measure: &'static str) -> Self {
        Self {
            rule,
            measure,
            cases: 0,
            unbounded: 0,
            worst: None,
            lacks: "",
            is_blind: false,
        }
    }

    /// Says what the logs lack for this rule.
    pub const fn with_lacks(mut self, lacks: &'static str) -> Self {
        self.lacks = lacks;
        self
    }

    /// Says that the logs hold nothing on this rule.
    pub const fn blind(mut self) -> Self {
        self.is_blind = true;
        self
    }

    /// Counts a case that can't be measured without a bound.
    pub const fn skip(&mut self) {
        self.cases += 1;
        self.unbounded += 1;
    }

    /// Counts a case in which nothing was seen so far.
    pub fn open(&mut self, bound: Option<f64>) {
        self.cases += 1;
        self.unbounded += u64::from(bound.is_none());
        self.compare(Worst {
            value: 0.0,
            bound,
            place: None,
        });
    }

    /// Counts a case and compares it with the worst.
    pub fn see(&mut self, value: f64, bound: Option<f64>, place: Place) {
        self.cases += 1;
        self.unbounded += u64::from(bound.is_none());
        self.raise(value, bound, place);
    }

    /// Compares a case that was counted before with the worst.
    pub fn raise(&mut self, value: f64, bound: Option<f64>, place: Place) {
        self.compare(Worst {
            value,
            bound,
            place: Some(place),
        });
    }

    fn compare(&mut self, case: Worst) {
        if self.worst.as_ref().is_none_or(|worst| case.is_worse_than(worst)) {
            self.worst = Some(case);
        }
    }
}
