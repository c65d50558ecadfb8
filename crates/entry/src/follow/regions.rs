//! Checks the regions that a configuration names.

use table::Table;

use super::apply::Applier;

impl Applier {
    /// Logs the regions of routes and workspaces in which there is no availability zone, since requests that may be processed
    /// nowhere else are refused.
    pub(super) fn report_unknown_regions(&self, table: &Table) {
        let settings = self.shared.settings();
        let is_known = |region: &str| {
            *region == *settings.region || settings.zone_regions.values().any(|it| *it == *region)
        };
        for route in table.routes() {
            for region in route.allowed_regions.iter().filter(|it| !is_known(it)) {
                log::warn!(version = table.version(), route:% = route.name, region:%; "allowed region has no zone");
            }
        }
        for workspace in table.workspaces() {
            for region in workspace.allowed_regions.iter().filter(|it| !is_known(it)) {
                log::warn!(version = table.version(), workspace:% = workspace.name, region:%; "allowed region has no zone");
            }
        }
    }
}
