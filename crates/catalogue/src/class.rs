//! VM classes.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::Price;

/// A class of VM that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name at the cloud.
    pub name: Name,
    /// Requests that one VM of the class serves at once.
    pub capacity: u32,
    /// Its prices, a zone each.
    #[serde(rename = "price")]
    pub prices: Vec<Price>,
}
