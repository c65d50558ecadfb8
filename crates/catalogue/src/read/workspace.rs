//! Reads a workspace.

use super::names::{Kind, Names};
use super::reader::Reader;
use super::validate;
use crate::Workspace;

/// Maximum weight in the fair queues.
const MAX_WEIGHT: u64 = 1000;

pub fn read(reader: &mut Reader<'_>, names: &mut Names) -> Option<Workspace> {
    let name = reader.located_name("name");
    if let Some(name) = &name {
        names.declare(Kind::Workspace, name);
    }
    let digest = reader.text("token_digest");
    if let Some(digest) = digest
        .as_ref()
        .filter(|digest| !validate::is_digest(&digest.value))
    {
        let message = "'token_digest' is no digest; `bilberrylatch catalogue token TOKEN` prints it";
        reader.error(digest.offset, message);
    }
    let weight = reader.number_or("weight", 1, 1..=MAX_WEIGHT);
    Some(Workspace {
        name: name?.value,
        token_digest: digest?.value,
        weight: weight? as u32,
    })
}
