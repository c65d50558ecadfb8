//! Reading a workspace.

use super::cursor::Cursor;
use super::names::{Kind, Names};
use super::rule;
use crate::Workspace;

/// Largest weight in the fair queues.
const WEIGHT_MAX: u64 = 1000;

pub fn read(cursor: &mut Cursor<'_>, names: &mut Names) -> Option<Workspace> {
    let name = cursor.placed_name("name");
    if let Some(name) = &name {
        names.declare(Kind::Workspace, name);
    }
    let digest = cursor.text("token_digest");
    if let Some(digest) = digest.as_ref().filter(|digest| !rule::is_digest(&digest.value)) {
        let message = "'token_digest' is no digest; `bilberrylatch catalogue token TOKEN` prints it";
        cursor.error(digest.offset, message);
    }
    let weight = cursor.number_or("weight", 1, 1..=WEIGHT_MAX);
    Some(Workspace {
        name: name?.value,
        token_digest: digest?.value,
        weight: weight? as u32,
    })
}
