//! Place and root choice: own place first, spill by weight and only to room, refuse at once.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_cluster::routing::{
    PlaceChoice, RefuseCause, RootReport, ServicePlaces, choose_place, choose_root, largest_limit,
};
use tansylead_types::{Moment, NodeId, PlaceName, ServiceName, TableRow, TrafficTable};

const PLACES: [&str; 3] = ["bangkok", "chiang-mai", "phuket"];
const NOW: Moment = Moment(1_000_000);

fn service() -> ServiceName {
    ServiceName::new("screening-1").expect("name")
}

fn place(name: &str) -> PlaceName {
    PlaceName::new(name).expect("name")
}

fn row(name: &str, hours: &str, weight: u32, limit: u32) -> TableRow {
    TableRow {
        service: service(),
        place: place(name),
        hours: hours.parse().expect("hours"),
        weight,
        limit,
    }
}

fn root(place: usize, number: u16) -> NodeId {
    NodeId(([10, 0, place as u8, 1], number).into())
}

fn report(room: f64) -> RootReport {
    RootReport {
        admitted_rate: 50.0,
        usable_rate: 50.0 + room,
    }
}

/// Every place with two reachable roots that have not reported yet.
fn all_reachable() -> ServicePlaces {
    let mut places = ServicePlaces::default();
    for (number, name) in PLACES.iter().enumerate() {
        places.set_roots(&place(name), [root(number, 1), root(number, 2)]);
    }
    places
}

fn choose(hour: u8, own: &str, table: &TrafficTable, places: &ServicePlaces) -> PlaceChoice {
    let mut random = StdRng::seed_from_u64(u64::from(hour));
    choose_place(
        NOW,
        &service(),
        hour,
        &place(own),
        table,
        places,
        &mut random,
    )
}

/// What is known about one root.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Nothing,
    Room,
    Full,
    Refusing,
    Gone,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_places_with_a_weight_a_limit_and_room_are_chosen(
        rows in proptest::collection::vec((0u32..3, 0u32..3), 3),
        known in proptest::collection::vec(
            proptest::sample::select(vec![
                Known::Nothing, Known::Room, Known::Full, Known::Refusing, Known::Gone,
            ]), 3),
        own in 0usize..3,
        seed in any::<u64>(),
    ) {
        let rows_of_table = PLACES.iter().zip(&rows);
        let rows_of_table = rows_of_table.map(|(name, &(weight, limit))| row(name, "0-24", weight, limit));
        let table = TrafficTable::from_rows(rows_of_table.collect());
        let mut places = ServicePlaces::default();
        for (number, name) in PLACES.iter().enumerate() {
            let (name, root) = (place(name), root(number, 1));
            places.set_roots(&name, [root]);
            match known[number] {
                Known::Nothing => {}
                Known::Room => places.on_report(NOW, &name, root, report(3.0)),
                Known::Full => places.on_report(NOW, &name, root, report(0.0)),
                Known::Refusing => places.on_refusal(NOW, &name, root, Duration::from_secs(1)),
                Known::Gone => places.set_roots(&name, []),
            }
        }
        let mut random = StdRng::seed_from_u64(seed);
        // After 2 s reports have expired and the backoff is over.
        for is_late in [false, true] {
            let now = if is_late { NOW + Duration::from_secs(2) } else { NOW };
            let own_place = place(PLACES[own]);
            let choice = choose_place(now, &service(), 0, &own_place, &table, &places, &mut random);
            let eligible = |number: usize| {
                let is_enabled = rows[number].0 > 0 && rows[number].1 > 0;
                let room = match known[number] {
                    Known::Nothing | Known::Room => true,
                    Known::Full | Known::Refusing => is_late,
                    Known::Gone => false,
                };
                is_enabled && room
            };
            match choice {
                PlaceChoice::Place { place, spilled } => {
                    let chosen = PLACES.iter().position(|name| *name == place.as_str()).expect("known");
                    prop_assert!(eligible(chosen));
                    prop_assert_eq!(spilled, chosen != own);
                    prop_assert!(!spilled || !eligible(own), "own place first");
                }
                PlaceChoice::Refuse { cause, retry_after } => {
                    prop_assert!((0..3).all(|number| !eligible(number)));
                    prop_assert!(retry_after >= Duration::from_millis(100));
                    let all_off = rows.iter().all(|&(weight, limit)| weight == 0 || limit == 0);
                    prop_assert_eq!(cause == RefuseCause::NoPlaceEnabled, all_off);
                }
            }
        }
    }
}

#[test]
fn spilled_traffic_is_split_by_weight() {
    let table = TrafficTable::from_rows(vec![
        row("bangkok", "0-24", 0, 100),
        row("chiang-mai", "0-24", 30, 100),
        row("phuket", "0-24", 10, 100),
    ]);
    let places = all_reachable();
    let mut random = StdRng::seed_from_u64(1);
    let mut draws: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..20_000 {
        let own = place("bangkok");
        let choice = choose_place(NOW, &service(), 0, &own, &table, &places, &mut random);
        let PlaceChoice::Place { place, .. } = choice else {
            panic!("refused")
        };
        *draws.entry(place.to_string()).or_default() += 1;
    }
    assert_eq!(draws.get("bangkok"), None);
    let to_phuket = f64::from(draws["phuket"]) / 20_000.0;
    assert!((0.24..0.26).contains(&to_phuket), "{to_phuket}");
}

#[test]
fn a_day_of_traffic_stays_within_every_limit_and_follows_the_hours() {
    let table = TrafficTable::from_rows(vec![
        row("bangkok", "0-12", 2, 40),
        row("bangkok", "12-0", 0, 40),
        row("chiang-mai", "6-18", 1, 30),
        row("phuket", "18-6", 1, 20),
    ]);
    assert_eq!(largest_limit(&table, &service(), &place("bangkok")), 40);
    let mut random = StdRng::seed_from_u64(2);
    let mut admitted_at: Vec<BTreeMap<PlaceName, u32>> = Vec::new();
    for hour in 0..24 {
        let mut places = all_reachable();
        let mut admitted: BTreeMap<PlaceName, u32> = BTreeMap::new();
        let mut refused = 0;
        for _ in 0..100 {
            let own = place("bangkok");
            let choice = choose_place(NOW, &service(), hour, &own, &table, &places, &mut random);
            let PlaceChoice::Place { place: chosen, .. } = choice else {
                refused += 1;
                continue;
            };
            // The place reports after each query, as forwarded answers do.
            let count = admitted.entry(chosen.clone()).or_default();
            *count += 1;
            let limit = table.row(&service(), &chosen, hour).expect("row").limit;
            let number = PLACES.iter().position(|name| *name == chosen.as_str());
            let report = RootReport {
                admitted_rate: f64::from(*count),
                usable_rate: f64::from(limit),
            };
            for root in [1, 2].map(|root_number| root(number.expect("known"), root_number)) {
                places.on_report(NOW, &chosen, root, report);
            }
        }
        let limits = admitted
            .keys()
            .map(|place| table.row(&service(), place, hour));
        let limits: u32 = limits.map(|row| row.expect("row").limit).sum();
        assert_eq!(
            admitted.values().sum::<u32>(),
            limits,
            "hour {hour}: each limit is used"
        );
        assert_eq!(admitted.values().sum::<u32>() + refused, 100);
        admitted_at.push(admitted);
    }
    assert_eq!(admitted_at[3][&place("phuket")], 20);
    assert_eq!(admitted_at[9][&place("chiang-mai")], 30);
    assert_eq!(admitted_at[15].get(&place("bangkok")), None);
}

#[test]
fn refusals_say_when_to_come_back() {
    let table = TrafficTable::from_rows(vec![row("bangkok", "6-18", 1, 10)]);
    let mut places = all_reachable();
    for root in [root(0, 1), root(0, 2)] {
        places.on_refusal(NOW, &place("bangkok"), root, Duration::from_millis(700));
    }
    let full = PlaceChoice::Refuse {
        cause: RefuseCause::NoRoom,
        retry_after: Duration::from_millis(700),
    };
    assert_eq!(choose(7, "phuket", &table, &places), full);
    let outside_hours = choose(3, "phuket", &table, &places);
    assert!(matches!(
        outside_hours,
        PlaceChoice::Refuse {
            cause: RefuseCause::NoPlaceEnabled,
            ..
        }
    ));
    places.set_roots(&place("bangkok"), []);
    let cut = choose(7, "phuket", &table, &places);
    assert!(matches!(
        cut,
        PlaceChoice::Refuse {
            cause: RefuseCause::NoRootReachable,
            ..
        }
    ));
}

#[test]
fn roots_are_drawn_by_room_and_this_daemon_comes_first() {
    let mut places = all_reachable();
    let (name, first, second) = (place("bangkok"), root(0, 1), root(0, 2));
    places.on_report(NOW, &name, first, report(30.0));
    places.on_report(NOW, &name, second, report(10.0));
    let mut random = StdRng::seed_from_u64(3);
    let stranger = root(2, 9);
    let mut draw =
        |own: NodeId, places: &ServicePlaces| choose_root(NOW, own, &name, places, &mut random);
    let to_first = (0..10_000).filter(|_| draw(stranger, &places) == Some(first));
    let share = to_first.count() as f64 / 10_000.0;
    assert!((0.73..0.77).contains(&share), "{share}");
    assert_eq!(draw(second, &places), Some(second));
    places.on_refusal(NOW, &name, second, Duration::from_secs(1));
    assert_eq!(draw(second, &places), Some(first));
    places.on_report(NOW, &name, first, report(0.0));
    assert_eq!(draw(stranger, &places), None);
}
