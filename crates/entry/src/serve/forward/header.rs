//! Headers between the node that took a request and the intermediary.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use base::Incarnation;
use http::HeaderName;
use place::intermediary::MAX_NAMED;

/// Names the sender, the endpoint and the replica of a request to an intermediary.
pub(super) const TARGET: HeaderName = HeaderName::from_static("bilberrylatch-forward");
/// What became of the request at the intermediary.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("bilberrylatch-outcome");
/// Why the intermediary has no response of the replica.
pub(super) const CAUSE: HeaderName = HeaderName::from_static("bilberrylatch-cause");

/// Names other nodes that reach the endpoint, if the intermediary took no request: incarnations, separated by spaces. Earlier
/// builds neither send nor read it.
pub(super) const OTHERS: HeaderName = HeaderName::from_static("bilberrylatch-others");
/// The value of [`CAUSE`] of a node that is cut off itself.
///
/// NB: earlier builds send the same text.
pub(super) const CUT_OFF: &str = "no replica can be reached";

/// The value of [`TARGET`]: `INCARNATION ENDPOINT REPLICA`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub sender: Incarnation,
    pub endpoint: Arc<str>,
    pub replica: Arc<str>,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.sender, self.endpoint, self.replica)
    }
}

impl FromStr for Target {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(' ');
        let (Some(sender), Some(endpoint), Some(replica), None) =
            (fields.next(), fields.next(), fields.next(), fields.next())
        else {
            return Err("expected INCARNATION ENDPOINT REPLICA");
        };
        Ok(Self {
            sender: sender.parse().map_err(|_invalid| "invalid incarnation")?,
            endpoint: Arc::from(endpoint),
            replica: Arc::from(replica),
        })
    }
}

/// The value of [`OUTCOME`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The response is that of the replica.
    Answered,
    /// No byte was sent to the replica.
    NotSent,
    /// No byte was sent to the replica, and the intermediary takes no requests at the moment.
    Declined,
    /// The request may have reached the replica, and there is no response.
    Lost,
}

impl Outcome {
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotSent => "not-sent",
            Self::Declined => "declined",
            Self::Lost => "lost",
        }
    }

    pub fn parse(label: &[u8]) -> Option<Self> {
        let all = [Self::Answered, Self::NotSent, Self::Declined, Self::Lost];
        all.into_iter().find(|it| it.label().as_bytes() == label)
    }
}

/// Encodes nodes as the value of [`OTHERS`].
pub(super) fn encode_nodes(nodes: &[Incarnation]) -> String {
    let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    nodes.join(" ")
}

/// Decodes the value of [`OTHERS`]; what is no node is left out.
pub(super) fn decode_nodes(text: &str) -> Vec<Incarnation> {
    let nodes = text.split(' ').filter_map(|node| node.parse().ok());
    nodes.take(MAX_NAMED).collect()
}
