//! Names that are declared and referred to.

use base::Name;
use indexmap::IndexMap;

use super::cursor::Placed;
use crate::{Findings, Severity};

/// What a name stands for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// An availability zone.
    Zone,
    /// A workspace.
    Workspace,
    /// A VM class.
    Class,
    /// An endpoint.
    Endpoint,
    /// A version of the endpoint of this name.
    Version(Name),
}

impl Kind {
    const fn label(&self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Workspace => "workspace",
            Self::Class => "class",
            Self::Endpoint => "endpoint",
            Self::Version(_) => "version",
        }
    }

    /// What to do about a name that nothing uses; none where that is fine.
    const fn unused(&self) -> Option<&'static str> {
        match self {
            Self::Workspace => Some("no endpoint has a share for it; add one or remove the workspace"),
            Self::Class => Some("no endpoint runs on it; remove it or use it"),
            Self::Version(_) => Some("it serves nothing until a rollout moves to it"),
            Self::Zone | Self::Endpoint => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    kind: Kind,
    name: Name,
}

#[derive(Clone, Copy, Debug)]
struct Declaration {
    offset: usize,
    used: bool,
}

#[derive(Clone, Debug)]
struct Reference {
    entry: Entry,
    offset: usize,
}

/// All names of one catalogue.
#[derive(Clone, Debug, Default)]
pub struct Names {
    declared: IndexMap<Entry, Declaration>,
    duplicates: Vec<Reference>,
    references: Vec<Reference>,
}

impl Names {
    /// No names yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A name is declared.
    pub fn declare(&mut self, kind: Kind, name: &Placed<Name>) {
        let entry = Entry {
            kind,
            name: name.value.clone(),
        };
        let offset = name.offset;
        if self.declared.contains_key(&entry) {
            self.duplicates.push(Reference { entry, offset });
            return;
        }
        self.declared.insert(entry, Declaration { offset, used: false });
    }

    /// A name is referred to.
    pub fn refer(&mut self, kind: Kind, name: &Placed<Name>) {
        let entry = Entry {
            kind,
            name: name.value.clone(),
        };
        self.references.push(Reference {
            entry,
            offset: name.offset,
        });
    }

    /// Reports duplicates, references to nothing, and declarations that nothing uses.
    pub fn check(mut self, text: &str, findings: &mut Findings) {
        for Reference { entry, offset } in self.duplicates {
            let message = format!(
                "{} '{}' stands twice; rename or remove one",
                entry.kind.label(),
                entry.name
            );
            findings.add(Severity::Error, text, offset, &message);
        }
        for Reference { entry, offset } in self.references {
            if let Some(declaration) = self.declared.get_mut(&entry) {
                declaration.used = true;
                continue;
            }
            let label = entry.kind.label();
            let message = format!(
                "{label} '{}' is not declared; declare it or correct the name",
                entry.name
            );
            findings.add(Severity::Error, text, offset, &message);
        }
        for (entry, declaration) in self
            .declared
            .iter()
            .filter(|(_entry, declaration)| !declaration.used)
        {
            let Some(advice) = entry.kind.unused() else {
                continue;
            };
            let message = format!("{} '{}': {advice}", entry.kind.label(), entry.name);
            findings.add(Severity::Warning, text, declaration.offset, &message);
        }
    }
}
