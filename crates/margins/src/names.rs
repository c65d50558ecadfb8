//! Names of nodes, replicas, endpoints, routes and workspaces, stored once.

use indexmap::IndexSet;

/// Maximum number of distinct names.
const MAX_NAMES: usize = 1 << 20;

/// A stored name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(u32);

/// The stored names.
#[derive(Clone, Debug, Default)]
pub struct Names {
    names: IndexSet<Box<str>>,
    overflow: u64,
}

impl Names {
    /// The key of a name, which is stored if it is new; `None` if there is no room for it.
    pub fn intern(&mut self, text: &str) -> Option<Name> {
        if let Some(index) = self.names.get_index_of(text) {
            return Some(Name(index as u32));
        }
        if self.names.len() >= MAX_NAMES {
            self.overflow += 1;
            return None;
        }
        let (index, _is_new) = self.names.insert_full(Box::from(text));
        Some(Name(index as u32))
    }

    /// The text of a name.
    pub fn text(&self, name: Name) -> &str {
        self.names.get_index(name.0 as usize).map_or("", |it| it)
    }

    /// How often there was no room for a name.
    pub const fn overflow(&self) -> u64 {
        self.overflow
    }
}
