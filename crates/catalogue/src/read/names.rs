//! Checks that every referenced name is declared exactly once.

use base::Name;
use indexmap::IndexMap;

use super::reader::Located;
use crate::{Findings, Severity};

/// The kind of object that a name identifies.
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
    /// A version of the endpoint with this name.
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

    /// Returns advice for a name that is never referenced; `None` if such a name is allowed.
    const fn unused_advice(&self) -> Option<&'static str> {
        match self {
            Self::Workspace => Some("no endpoint has a share for it; add one or remove the workspace"),
            Self::Class => Some("no endpoint runs on it; remove it or use it"),
            Self::Version(_) => Some("it serves nothing until a rollout moves to it"),
            Self::Zone | Self::Endpoint => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Symbol {
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
    symbol: Symbol,
    offset: usize,
}

/// The declarations and references of names in a catalogue.
#[derive(Clone, Debug, Default)]
pub struct Names {
    declarations: IndexMap<Symbol, Declaration>,
    duplicates: Vec<Reference>,
    references: Vec<Reference>,
}

impl Names {
    /// Creates an empty set of names.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the declaration of a name.
    pub fn declare(&mut self, kind: Kind, name: &Located<Name>) {
        let symbol = Symbol {
            kind,
            name: name.value.clone(),
        };
        let offset = name.offset;
        if self.declarations.contains_key(&symbol) {
            self.duplicates.push(Reference { symbol, offset });
            return;
        }
        self.declarations
            .insert(symbol, Declaration { offset, used: false });
    }

    /// Records a reference to a name.
    pub fn reference(&mut self, kind: Kind, name: &Located<Name>) {
        let symbol = Symbol {
            kind,
            name: name.value.clone(),
        };
        self.references.push(Reference {
            symbol,
            offset: name.offset,
        });
    }

    /// Reports duplicate declarations, references to undeclared names and unused declarations.
    pub fn report(mut self, text: &str, findings: &mut Findings) {
        for Reference { symbol, offset } in self.duplicates {
            let message = format!(
                "{} '{}' stands twice; rename or remove one",
                symbol.kind.label(),
                symbol.name
            );
            findings.add(Severity::Error, text, offset, &message);
        }
        for Reference { symbol, offset } in self.references {
            if let Some(declaration) = self.declarations.get_mut(&symbol) {
                declaration.used = true;
                continue;
            }
            let label = symbol.kind.label();
            let message = format!(
                "{label} '{}' is not declared; declare it or correct the name",
                symbol.name
            );
            findings.add(Severity::Error, text, offset, &message);
        }
        for (symbol, declaration) in self
            .declarations
            .iter()
            .filter(|(_entry, declaration)| !declaration.used)
        {
            let Some(advice) = symbol.kind.unused_advice() else {
                continue;
            };
            let message = format!("{} '{}': {advice}", symbol.kind.label(), symbol.name);
            findings.add(Severity::Warning, text, declaration.offset, &message);
        }
    }
}
