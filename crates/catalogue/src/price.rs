//! Prices of VMs.

use base::Name;
use serde::{Deserialize, Serialize};

/// Hourly prices of a VM class in one availability zone, in the deployment's currency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The zone.
    pub zone: Name,
    /// Hourly price of a reclaimable VM; `None` if none is offered.
    pub reclaimable: Option<f64>,
    /// Hourly price of an on-demand VM; `None` if none is offered.
    pub on_demand: Option<f64>,
}
