//! One rule of the result.

use serde::Serialize;

use crate::{Margin, Names};

/// What a row says of its rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The worst case keeps the bound.
    Kept,
    /// The worst case is beyond the bound.
    Broken,
    /// No bound was given for any case.
    NoBound,
    /// No case was looked at.
    NoCase,
    /// The logs hold nothing on this rule.
    NoData,
}

impl Verdict {
    /// Text in tables.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Broken => "BROKEN",
            Self::NoBound => "no bound given",
            Self::NoCase => "no case",
            Self::NoData => "logs hold nothing on this",
        }
    }
}

/// One rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The rule.
    pub rule: &'static str,
    /// What is measured.
    pub measure: &'static str,
    /// What a row says of its rule.
    pub verdict: Verdict,
    /// What the worst case may be at most.
    pub bound: Option<f64>,
    /// The worst case.
    pub worst: Option<f64>,
    /// The worst case as a share of the bound; none if the bound is zero and the case is not.
    pub share: Option<f64>,
    /// Node of the worst case.
    pub node: Option<String>,
    /// Replica, endpoint, route or workspace of the worst case.
    pub subject: Option<String>,
    /// Time of the worst case, in milliseconds.
    pub time: Option<i64>,
    /// Request of the worst case.
    pub request: Option<String>,
    /// Number of cases that were looked at.
    pub cases: u64,
    /// Number of these without a bound.
    pub unbounded: u64,
    /// What the logs lack for this rule.
    pub lacks: &'static str,
}

impl Row {
    /// Creates the row of a margin.
    pub fn new(margin: &Margin, names: &Names) -> Self {
        let text = |name| names.text(name).to_owned();
        let worst = margin.worst.as_ref();
        let place = worst.and_then(|it| it.place.as_ref());
        let share = worst.and_then(crate::Worst::share);
        let verdict = match share {
            _ if margin.cases == 0 && margin.is_blind => Verdict::NoData,
            _ if margin.cases == 0 => Verdict::NoCase,
            None => Verdict::NoBound,
            Some(share) if share > 1.0 => Verdict::Broken,
            Some(_) => Verdict::Kept,
        };
        Self {
            rule: margin.rule,
            measure: margin.measure,
            verdict,
            bound: worst.and_then(|it| it.bound),
            worst: worst.map(|it| it.value),
            share: share.filter(|it| it.is_finite()),
            node: place.and_then(|it| it.node).map(text),
            subject: place.and_then(|it| it.subject).map(text),
            time: place.map(|it| it.at.0),
            request: place.and_then(|it| it.request.as_ref()).map(ToString::to_string),
            cases: margin.cases,
            unbounded: margin.unbounded,
            lacks: margin.lacks,
        }
    }
}
