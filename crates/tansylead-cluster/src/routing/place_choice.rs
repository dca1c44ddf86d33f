//! Choice of the place, and of the root in it, for one query.
//!
//! The rule, for the row of the operators' table in force at this hour:
//! 1. A place is *enabled* if it has a row with weight above 0 and limit above 0. It *has room* if
//!    one of its reachable roots has: see [`super::RootState::has_room`].
//! 2. The caller's own place is chosen if it is enabled and has room.
//! 3. Otherwise the query spills: one of the other enabled places with room is chosen at random
//!    with probability proportional to its weight.
//! 4. If there is none the query is refused at once, with the time after which room is expected.
//!
//! So weights split only the traffic that leaves its own place: all traffic that arrives at a place
//! with weight 0, and what exceeds the room of an enabled place. When a place reaches its limit,
//! its share of spilled traffic goes to the others in proportion to their weights.

use super::place_state::ServicePlaces;
use rand::{Rng, RngExt};
use std::time::Duration;
use tansylead_types::{Moment, NodeId, PlaceName, ServiceName, TrafficTable};

/// Shortest time a refused caller is told to wait.
pub const MINIMUM_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time a caller is told to wait if no place is enabled or no root is reachable.
pub const NO_PLACE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why no place was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefuseCause {
    /// No place has a weight and a limit above 0 for the service at this hour.
    #[error("no place takes this service at this hour")]
    NoPlaceEnabled,
    /// No root of an enabled place is reachable.
    #[error("no root of a place that takes this service is reachable")]
    NoRootReachable,
    /// All enabled places are at their limits.
    #[error("every place that takes this service is at its limit")]
    NoRoom,
}

/// Outcome of [`choose_place`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceChoice {
    /// Send the query to a root of this place.
    Place {
        /// The place.
        place: PlaceName,
        /// Whether it is not the caller's own place.
        spilled: bool,
    },
    /// Refuse as not run.
    Refuse {
        /// Why.
        cause: RefuseCause,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Chooses the place for one query; the module documentation states the rule.
pub fn choose_place(
    now: Moment,
    service: &ServiceName,
    hour: u8,
    own_place: &PlaceName,
    table: &TrafficTable,
    places: &ServicePlaces,
    random: &mut impl Rng,
) -> PlaceChoice {
    let enabled = enabled_places(service, hour, table);
    let has_room = |place: &PlaceName| places.place(place).is_some_and(|state| state.has_room(now));
    let with_room: Vec<WeightedPlace<'_>> = enabled
        .iter()
        .copied()
        .filter(|candidate| has_room(candidate.place))
        .collect();
    let own = with_room
        .iter()
        .find(|candidate| candidate.place == own_place);
    match own.copied().or_else(|| draw_by_weight(&with_room, random)) {
        Some(chosen) => PlaceChoice::Place {
            place: chosen.place.clone(),
            spilled: chosen.place != own_place,
        },
        None => refuse(now, &enabled, places),
    }
}

/// Chooses the root for a query in a place: this daemon itself if it is a root with room, else one
/// at random among those with room, weighted by the room they reported; a root without a fresh
/// report counts as having the most room reported. `None` if no root has room.
pub fn choose_root(
    now: Moment,
    own_node: NodeId,
    place: &PlaceName,
    places: &ServicePlaces,
    random: &mut impl Rng,
) -> Option<NodeId> {
    let state = places.place(place)?;
    let with_room = || state.roots().filter(|(_, root)| root.has_room(now));
    if with_room().any(|(node, _)| node == own_node) {
        return Some(own_node);
    }
    let reported = with_room().filter_map(|(_, root)| root.reported_room(now));
    let most_room = reported.fold(1.0, f64::max);
    let rooms: Vec<(NodeId, f64)> = with_room()
        .map(|(node, root)| (node, root.reported_room(now).unwrap_or(most_room)))
        .collect();
    let total: f64 = rooms.iter().map(|(_, room)| room).sum();
    let mut point = random.random::<f64>() * total;
    for (node, room) in &rooms {
        if point < *room {
            return Some(*node);
        }
        point -= room;
    }
    rooms.last().map(|(node, _)| *node)
}

/// Largest limit of any hour for a service in a place: the input of [`super::serving_set`].
pub fn largest_limit(table: &TrafficTable, service: &ServiceName, place: &PlaceName) -> u32 {
    let rows = table.rows.iter();
    let limits = rows
        .filter(|row| row.service == *service && row.place == *place)
        .map(|row| row.limit);
    limits.max().unwrap_or(0)
}

#[derive(Clone, Copy)]
struct WeightedPlace<'a> {
    place: &'a PlaceName,
    weight: u32,
}

fn enabled_places<'a>(
    service: &ServiceName,
    hour: u8,
    table: &'a TrafficTable,
) -> Vec<WeightedPlace<'a>> {
    table
        .rows
        .iter()
        .filter(|row| row.service == *service && row.hours.contains(hour))
        .filter(|row| row.weight > 0 && row.limit > 0)
        .map(|row| WeightedPlace {
            place: &row.place,
            weight: row.weight,
        })
        .collect()
}

fn draw_by_weight<'a>(
    candidates: &[WeightedPlace<'a>],
    random: &mut impl Rng,
) -> Option<WeightedPlace<'a>> {
    let weight = |candidate: &WeightedPlace<'_>| u64::from(candidate.weight);
    let total: u64 = candidates.iter().map(weight).sum();
    if total == 0 {
        return None;
    }
    let mut point = random.random_range(0..total);
    for candidate in candidates {
        if point < weight(candidate) {
            return Some(*candidate);
        }
        point -= weight(candidate);
    }
    None
}

fn refuse(now: Moment, enabled: &[WeightedPlace<'_>], places: &ServicePlaces) -> PlaceChoice {
    let earliest_retry = enabled
        .iter()
        .filter_map(|candidate| places.place(candidate.place)?.retry_at(now))
        .min();
    let (cause, retry_after) = match earliest_retry {
        _ if enabled.is_empty() => (RefuseCause::NoPlaceEnabled, NO_PLACE_RETRY_AFTER),
        None => (RefuseCause::NoRootReachable, NO_PLACE_RETRY_AFTER),
        Some(at) => (RefuseCause::NoRoom, at.since(now).max(MINIMUM_RETRY_AFTER)),
    };
    PlaceChoice::Refuse { cause, retry_after }
}
