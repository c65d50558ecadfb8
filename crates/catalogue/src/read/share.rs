//! Reads a share.

use super::names::{Kind, Names};
use super::reader::Reader;
use crate::Share;

/// Maximum number of concurrent requests of a workspace.
const MAX_REQUESTS: u64 = 1_000_000;

pub fn read(reader: &mut Reader<'_>, names: &mut Names) -> Option<Share> {
    let workspace = reader.located_name("workspace");
    if let Some(workspace) = &workspace {
        names.reference(Kind::Workspace, workspace);
    }
    let in_flight = reader.number("in_flight", 1..=MAX_REQUESTS);
    Some(Share {
        workspace: workspace?.value,
        in_flight: in_flight? as u32,
    })
}
