//! Ranking of nodes, the same on all nodes that know the same nodes.

use std::cmp::Reverse;

use base::Incarnation;

use crate::Candidate;

/// Mixes the bits of a number with the finalizer of the `SplitMix64` generator.
const fn mix_bits(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Weight of a node for a key, by rendezvous hashing.
pub(crate) const fn weight(key: u64, node: Incarnation) -> u64 {
    mix_bits(key ^ mix_bits(node.0))
}

/// Position of a node in its zone: large nodes come first.
pub(crate) fn position(node: &Candidate) -> (Reverse<u32>, u64) {
    (Reverse(node.capacity), weight(0, node.node))
}

/// The first of the nodes of a zone, which acts for the others.
pub fn lead<I>(zone: I) -> Option<Incarnation>
where
    I: IntoIterator<Item = Candidate>,
{
    zone.into_iter().min_by_key(position).map(|it| it.node)
}
