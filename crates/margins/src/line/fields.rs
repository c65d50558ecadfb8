//! The fields of log lines that the rules need.

use serde::Deserialize;

use super::Scalar;

/// The fields of a line. Others are ignored.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Fields<'a> {
    #[serde(borrow)]
    pub time: Scalar<'a>,
    #[serde(borrow)]
    pub event: Scalar<'a>,
    #[serde(borrow)]
    pub id: Scalar<'a>,
    #[serde(borrow)]
    pub route: Scalar<'a>,
    #[serde(borrow)]
    pub endpoint: Scalar<'a>,
    #[serde(borrow)]
    pub workspace: Scalar<'a>,
    #[serde(borrow)]
    pub replica: Scalar<'a>,
    #[serde(borrow)]
    pub attempts: Scalar<'a>,
    #[serde(borrow)]
    pub attempt: Scalar<'a>,
    #[serde(borrow)]
    pub outcome: Scalar<'a>,
    #[serde(borrow)]
    pub status: Scalar<'a>,
    #[serde(borrow)]
    pub cause: Scalar<'a>,
    #[serde(borrow)]
    pub view_age_ms: Scalar<'a>,
    #[serde(borrow)]
    pub send_delay_ms: Scalar<'a>,
    #[serde(borrow)]
    pub took_ms: Scalar<'a>,
    #[serde(borrow)]
    pub left_ms: Scalar<'a>,
    #[serde(borrow)]
    pub tokens: Scalar<'a>,
    #[serde(borrow)]
    pub configuration: Scalar<'a>,
    #[serde(borrow)]
    pub version: Scalar<'a>,
    #[serde(borrow)]
    pub state: Scalar<'a>,
    #[serde(borrow)]
    pub waiting: Scalar<'a>,
    #[serde(borrow)]
    pub asked_ms: Scalar<'a>,
    #[serde(borrow)]
    pub per_s: Scalar<'a>,
    #[serde(borrow)]
    pub target: Scalar<'a>,
    #[serde(borrow)]
    pub within_ms: Scalar<'a>,
    #[serde(borrow)]
    pub stage: Scalar<'a>,
    #[serde(borrow)]
    pub lines_dropped_before: Scalar<'a>,
}
