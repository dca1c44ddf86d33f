//! The regions that the requests of a route are restricted to.

use serde::{Deserialize, Serialize};
use tansylead_types::PlaceName;

/// Regions whose leafs may serve the requests of a route. An empty list allows every region.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomeRegions(Vec<PlaceName>);

impl HomeRegions {
    /// Restricts requests to these regions; an empty list allows every region.
    pub fn new(regions: Vec<PlaceName>) -> Self {
        Self(regions)
    }

    /// Whether requests are restricted to some regions.
    pub fn is_restricted(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether a leaf in `region` may serve the requests. A leaf whose region is unknown may not if
    /// they are restricted.
    pub fn allow(&self, region: Option<&PlaceName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}
