//! Which nodes are cut off, and how.

use std::str::FromStr;

use base::seed::Generator;
use rand::RngExt;
use standin::Link;

/// Number of availability zones.
pub const ZONES: usize = 5;

/// The nodes that are cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// A single node.
    One,
    /// One in ten.
    Tenth,
    /// One in three.
    Third,
    /// All but two nodes of a zone.
    ZonePart,
    /// All nodes of a zone.
    Zone,
    /// All nodes of a zone, and one in three of the others.
    ZoneAndThird,
    /// Two in three.
    TwoThirds,
}

impl FromStr for Which {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "one" => Self::One,
            "tenth" => Self::Tenth,
            "third" => Self::Third,
            "zone-part" => Self::ZonePart,
            "zone" => Self::Zone,
            "zone-and-third" => Self::ZoneAndThird,
            "two-thirds" => Self::TwoThirds,
            other => {
                return Err(format!(
                    "unknown nodes {other:?}: use one, tenth, third, zone-part, zone, zone-and-third or two-thirds"
                ));
            }
        })
    }
}

impl Which {
    /// Draws the nodes of a cluster. Node `n` is in zone `n % ZONES`.
    pub fn draw(self, nodes: usize, generator: &mut Generator) -> Vec<usize> {
        let zone = generator.random_range(0..ZONES);
        let mut drawn: Vec<usize> = (0..nodes).collect();
        for index in (1..nodes).rev() {
            drawn.swap(index, generator.random_range(0..=index));
        }
        let (mut own, mut others): (Vec<usize>, Vec<usize>) =
            drawn.iter().partition(|node| **node % ZONES == zone);
        match self {
            Self::One => drawn.truncate(1),
            Self::Tenth => drawn.truncate(nodes.div_ceil(10)),
            Self::Third => drawn.truncate(nodes / 3),
            Self::TwoThirds => drawn.truncate(nodes * 2 / 3),
            Self::ZonePart => {
                own.truncate(own.len().saturating_sub(2));
                drawn = own;
            }
            Self::Zone => drawn = own,
            Self::ZoneAndThird => {
                others.truncate(others.len() / 3);
                own.extend(others);
                drawn = own;
            }
        }
        drawn
    }
}

/// State of the links of a node that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// The same for all replicas.
    Same(Link),
    /// Drawn for each replica.
    Mixed,
}

impl FromStr for Faults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "reset" => Self::Same(Link::Reset),
            "refuse-new" => Self::Same(Link::RefuseNew),
            "silent" => Self::Same(Link::Silent),
            "mixed" => Self::Mixed,
            other => {
                return Err(format!(
                    "unknown state {other:?}: use reset, refuse-new, silent or mixed"
                ));
            }
        })
    }
}

impl Faults {
    /// State of the link to the next replica.
    pub fn draw(self, generator: &mut Generator) -> Link {
        match self {
            Self::Same(link) => link,
            Self::Mixed => [Link::Reset, Link::RefuseNew, Link::Silent][generator.random_range(0..3)],
        }
    }
}

/// The cuts of a run.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The nodes.
    pub which: Which,
    /// State of their links.
    pub faults: Faults,
    /// Number of replicas that each node still reaches.
    pub reachable: usize,
    /// Duration of each cut in seconds.
    pub seconds: u64,
    /// Number of cuts.
    pub cuts: usize,
    /// Pause between two cuts in milliseconds.
    pub pause_ms: u64,
}

impl Cut {
    /// States of the links of a node, one for each replica.
    pub fn draw_links(&self, replicas: usize, generator: &mut Generator) -> Vec<Link> {
        let mut links: Vec<Link> = (0..replicas).map(|_| self.faults.draw(generator)).collect();
        for _ in 0..self.reachable {
            links[generator.random_range(0..replicas)] = Link::Open;
        }
        links
    }
}
