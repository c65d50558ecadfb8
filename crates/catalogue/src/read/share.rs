//! Reading a share.

use super::cursor::Cursor;
use super::names::{Kind, Names};
use crate::Share;

/// Most requests of one workspace at once.
const REQUESTS_MAX: u64 = 1_000_000;

pub fn read(cursor: &mut Cursor<'_>, names: &mut Names) -> Option<Share> {
    let workspace = cursor.placed_name("workspace");
    if let Some(workspace) = &workspace {
        names.refer(Kind::Workspace, workspace);
    }
    let in_flight = cursor.number("in_flight", 1..=REQUESTS_MAX);
    Some(Share {
        workspace: workspace?.value,
        in_flight: in_flight? as u32,
    })
}
