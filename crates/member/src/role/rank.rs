//! Ranking of the candidates for a role.

use base::{Incarnation, Name};

use crate::hash;

#[derive(Hash)]
struct HashInput<'a> {
    role: &'a Name,
    candidate: Incarnation,
}

/// Returns the rank of `me` among `candidates` for `role`, 0 being the best; `None` if it isn't among them.
///
/// Each role ranks the candidates in its own order (rendezvous hashing), which distributes the roles over the nodes.
pub fn rank<C>(role: &Name, me: Incarnation, candidates: C) -> Option<usize>
where
    C: IntoIterator<Item = Incarnation>,
{
    let weight = |candidate: Incarnation| (hash::of(&HashInput { role, candidate }), candidate);
    let own_weight = weight(me);
    let mut is_candidate = false;
    let mut better_count = 0;
    for candidate in candidates {
        is_candidate |= candidate == me;
        better_count += usize::from(weight(candidate) < own_weight);
    }
    is_candidate.then_some(better_count)
}
