//! The nodes that send to cold replicas.

use base::Millis;
use indexmap::IndexMap;

use crate::rendezvous;

/// Nodes among which the cold replicas are divided, as this node sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Senders {
    /// The other nodes, and this one if it takes part.
    nodes: Vec<u64>,
    /// This node, if it takes part.
    own: Option<u64>,
    /// Until when that is known well enough.
    valid_until: Millis,
}

impl Senders {
    /// Number of nodes.
    pub(crate) const fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the nodes are the same, whatever the time.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.nodes == other.nodes && self.own == other.own
    }

    /// Whether this node knows well enough who takes part.
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        now <= self.valid_until
    }

    /// Whether this node is one of the first `count` for a replica. All nodes rank them the same.
    pub(crate) fn includes_own(&self, replica: u64, count: usize) -> bool {
        let Some(own) = self.own else { return false };
        let weight = rendezvous::weight(own, replica);
        let before = self
            .nodes
            .iter()
            .filter(|it| rendezvous::weight(**it, replica) > weight);
        before.take(count).count() < count
    }
}

/// How long things take between the nodes and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time in which all nodes that reach the store have read a change.
    pub settle: Millis,
    /// Minimum time without contact to the store in which a node's registration may expire.
    pub min_outage: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    since: Millis,
    gone_at: Option<Millis>,
}

/// Follows the registered nodes, and says who sends to cold replicas.
///
/// Load pattern: nodes start, are replaced and lose the store while a replica is cold, so that their views differ. A node that
/// takes the place of another one waits until that one must have read so, and one whose view is older than that sends nothing.
/// So no more nodes than planned send to a replica, apart from those that a node which starts displaces at its own.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: IndexMap<u64, Member>,
}

impl Roster {
    /// Records the registered nodes of a view that was confirmed at a time.
    pub fn observe<I>(
        &mut self,
        now: Millis,
        own: u64,
        times: Times,
        confirmed_at: Option<Millis>,
        registered: I,
    ) -> Senders
    where
        I: IntoIterator<Item = u64>,
    {
        let Times { settle, min_outage } = times;
        for member in self.members.values_mut() {
            member.gone_at.get_or_insert(now);
        }
        for node in registered {
            let known = self.members.entry(node).or_insert(Member {
                since: now,
                gone_at: None,
            });
            if known.gone_at.is_some_and(|at| at < now) {
                known.since = now;
            }
            known.gone_at = None;
        }
        self.members
            .retain(|node, it| it.gone_at.is_none_or(|at| *node != own && now.since(at) < settle));
        let is_outdated = confirmed_at.is_none_or(|at| now.since(at) >= min_outage);
        if let Some(member) = self.members.get_mut(&own).filter(|_| is_outdated) {
            // Its registration may have expired and come back unnoticed.
            member.since = now;
        }
        let takes_part = |it: &Member| now.since(it.since) >= settle;
        let own = self.members.get(&own).filter(|it| takes_part(it)).map(|_| own);
        Senders {
            nodes: self.members.keys().copied().collect(),
            own,
            valid_until: confirmed_at.map_or(Millis::ZERO, |at| at + settle),
        }
    }
}
