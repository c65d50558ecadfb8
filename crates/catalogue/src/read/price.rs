//! Reads a price.

use super::names::{Kind, Names};
use super::reader::Reader;
use crate::Price;

pub fn read(reader: &mut Reader<'_>, names: &mut Names) -> Option<Price> {
    let zone = reader.located_name("zone");
    if let Some(zone) = &zone {
        names.reference(Kind::Zone, zone);
    }
    let reclaimable = reader.price("reclaimable");
    let on_demand = reader.price("on_demand");
    let offset = reader.offset();
    if !reader.has("reclaimable") && !reader.has("on_demand") {
        reader.error(offset, "a price needs 'reclaimable', 'on_demand' or both");
    }
    if let (Some(reclaimable), Some(on_demand)) = (reclaimable, on_demand)
        && reclaimable >= on_demand
    {
        reader.warn(
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
