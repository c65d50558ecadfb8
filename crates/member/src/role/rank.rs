//! Which candidate should take a role up first.

use base::{Incarnation, Name};

use crate::hash;

#[derive(Hash)]
struct HashInput<'a> {
    role: &'a Name,
    candidate: Incarnation,
}

/// The place of `me` among `candidates` for the role called `role`, best first; `None` if it isn't among them.
///
/// Each role ranks the candidates in its own order (rendezvous hashing), so that roles spread.
pub fn rank<C>(role: &Name, me: Incarnation, candidates: C) -> Option<usize>
where
    C: IntoIterator<Item = Incarnation>,
{
    let weight = |candidate: Incarnation| (hash::of(&HashInput { role, candidate }), candidate);
    let own = weight(me);
    let mut is_candidate = false;
    let mut better_count = 0;
    for candidate in candidates {
        is_candidate |= candidate == me;
        better_count += usize::from(weight(candidate) < own);
    }
    is_candidate.then_some(better_count)
}
