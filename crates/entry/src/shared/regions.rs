//! Regions of availability zones, and the zones in which a request may be processed.

use std::sync::Arc;

use table::Residency;

use super::Shared;
use crate::settings::Settings;

impl Shared {
    /// The availability zones in which a request may be processed; `None` if it may be in any.
    pub fn allowed_zones(&self, residency: &Residency<'_>) -> Option<Arc<[Arc<str>]>> {
        if !residency.is_restricted() {
            return None;
        }
        let settings = self.settings();
        let zones = settings.zone_regions.keys().map(String::as_str);
        let own = (!settings.zone_regions.contains_key(&settings.zone)).then_some(&*settings.zone);
        let allowed = zones
            .chain(own)
            .filter(|zone| residency.allows(settings.region_of(zone)));
        Some(allowed.map(Arc::from).collect())
    }
}

impl Settings {
    /// The region of an availability zone; `None` if it is not known.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let named = self.zone_regions.get(zone).map(String::as_str);
        let own = (*zone == *self.zone && !self.region.is_empty()).then_some(&*self.region);
        named.or(own)
    }
}
