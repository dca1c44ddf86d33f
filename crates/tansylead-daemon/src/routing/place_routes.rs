//! The serving set of one service in one place, kept until one of its inputs changes.

use std::sync::Arc;
use tansylead_cluster::routing::{Candidate, ServingSet, largest_limit, serving_set};
use tansylead_types::{PlaceName, ServiceName, ServicePlacement, TrafficTable};

/// Inputs of a serving set.
#[derive(Debug, Clone)]
pub struct PlaceInputs {
    /// Leafs and snapshots.
    pub placement: Arc<ServicePlacement>,
    /// Largest limit of any hour.
    pub limit: u32,
    /// Live members of the place.
    pub candidates: Arc<Vec<Candidate>>,
}

impl PlaceInputs {
    /// The inputs for a service in a place.
    pub fn new(
        service: &ServiceName,
        place: &PlaceName,
        placement: &Arc<ServicePlacement>,
        table: &TrafficTable,
        candidates: Arc<Vec<Candidate>>,
    ) -> Self {
        Self {
            placement: Arc::clone(placement),
            limit: largest_limit(table, service, place),
            candidates,
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.placement, &other.placement)
            && Arc::ptr_eq(&self.candidates, &other.candidates)
            && self.limit == other.limit
    }
}

/// A serving set and the inputs it was computed from.
#[derive(Debug, Clone)]
pub struct PlaceRoutes {
    inputs: PlaceInputs,
    /// The serving set.
    pub set: Arc<ServingSet>,
}

impl PlaceRoutes {
    /// The routes for these inputs: the known ones if their inputs are the same, else new ones.
    pub fn reuse_or_compute(
        known: Option<PlaceRoutes>,
        service: &ServiceName,
        place: &PlaceName,
        inputs: PlaceInputs,
    ) -> Self {
        if let Some(known) = known
            && known.inputs.is_same(&inputs)
        {
            return known;
        }
        let candidates = &inputs.candidates;
        let set = serving_set(service, place, &inputs.placement, inputs.limit, candidates);
        Self {
            inputs,
            set: Arc::new(set),
        }
    }
}
