//! The regions that the requests of a route are confined to.

use serde::{Deserialize, Serialize};
use tansylead_types::PlaceName;

/// Regions whose leafs may serve the requests of a route. Without any, every region may.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomeRegions(Vec<PlaceName>);

impl HomeRegions {
    /// Confines requests to these regions; to none in particular if there are none.
    pub fn new(regions: Vec<PlaceName>) -> Self {
        Self(regions)
    }

    /// Whether requests are confined to some regions.
    pub fn are_confining(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether a leaf in `region` may serve the requests. A leaf whose region is unknown may not if
    /// they are confined.
    pub fn allow(&self, region: Option<&PlaceName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}
