//! A chosen replica and the way to it.

use place::Choice;

use crate::shared::Intermediary;

/// A chosen replica, and the node through which the request is sent if not from here.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Pick {
    pub choice: Choice,
    pub intermediary: Option<Intermediary>,
}
