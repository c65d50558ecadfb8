//! Reading a price.

use super::cursor::Cursor;
use super::names::{Kind, Names};
use crate::Price;

pub fn read(cursor: &mut Cursor<'_>, names: &mut Names) -> Option<Price> {
    let zone = cursor.placed_name("zone");
    if let Some(zone) = &zone {
        names.refer(Kind::Zone, zone);
    }
    let reclaimable = cursor.price("reclaimable");
    let on_demand = cursor.price("on_demand");
    let offset = cursor.offset();
    if !cursor.has("reclaimable") && !cursor.has("on_demand") {
        cursor.error(offset, "a price needs 'reclaimable', 'on_demand' or both");
    }
    if let (Some(reclaimable), Some(on_demand)) = (reclaimable, on_demand)
        && reclaimable >= on_demand
    {
        cursor.warn(
            offset,
            "reclaimable VMs cost no less than on-demand ones here; nobody would choose them",
        );
    }
    Some(Price {
        zone: zone?.value,
        reclaimable,
        on_demand,
    })
}
