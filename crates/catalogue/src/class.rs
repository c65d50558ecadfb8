//! VM classes.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::Price;

/// A VM class (instance type) that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class in the cloud API.
    pub name: Name,
    /// Maximum number of requests that a VM of the class serves concurrently.
    pub capacity: u32,
    /// Prices, one entry for each zone.
    #[serde(rename = "price")]
    pub prices: Vec<Price>,
}
