//! Prices of VMs.

use base::Name;
use serde::{Deserialize, Serialize};

/// Price of a class in one availability zone, in the deployment's currency an hour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// The zone.
    pub zone: Name,
    /// Price of a reclaimable VM an hour; absent where none is offered.
    pub reclaimable: Option<f64>,
    /// Price of an on-demand VM an hour; absent where none is offered.
    pub on_demand: Option<f64>,
}
