//! Parsing and checking of a catalogue text.
//!
//! The text is parsed into a TOML tree that keeps the position of each value. A separate module reads each kind of table
//! and continues after an error, so one run reports all findings.

mod class;
mod endpoint;
mod limits;
mod names;
mod price;
mod reader;
mod route;
mod share;
mod validate;
mod workspace;

use base::Name;
use toml::de::DeTable;

use crate::{Catalogue, Findings, Severity};
use names::{Kind, Names};
use reader::Reader;

/// The findings of a check, and the catalogue if it is valid.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The catalogue; `None` if there are errors.
    pub catalogue: Option<Catalogue>,
    /// Errors and warnings.
    pub findings: Findings,
}

/// Parses and checks a catalogue text.
pub fn check(text: &str) -> Checked {
    let mut findings = Findings::new();
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        findings.add(Severity::Error, text, offset, error.message());
    }
    let mut names = Names::new();
    let mut reader = Reader::new(text, root.get_ref(), root.span().start, &mut findings);
    let catalogue = read_catalogue(&mut reader, &mut names);
    reader.finish();
    names.report(text, &mut findings);
    let catalogue = catalogue.filter(|_| !findings.has_errors());
    Checked { catalogue, findings }
}

fn read_catalogue(reader: &mut Reader<'_>, names: &mut Names) -> Option<Catalogue> {
    let deployment = reader.name("deployment");
    let region = reader.name("region");
    let zones = reader.located_names("zones");
    for zone in &zones {
        names.declare(Kind::Zone, zone);
    }
    let workspaces = reader.tables("workspace", |table| workspace::read(table, names));
    let classes = reader.tables("class", |table| class::read(table, names));
    let endpoints = reader.tables("endpoint", |table| endpoint::read(table, names));
    Some(Catalogue {
        deployment: deployment?,
        region: region?,
        zones: zones.into_iter().map(|zone| zone.value).collect::<Vec<Name>>(),
        workspaces,
        classes,
        endpoints,
    })
}
