//! The CSV form and the checks: all errors at once, with line and column, and a stable round trip.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tansylead_table::{
    KnownPlacement, KnownServices, NumberedRow, check_rows, check_table, has_errors, parse_rows,
    write_rows,
};
use tansylead_types::{HourRange, PlaceName, ServiceName, TableRow};

fn known(names: &[(&str, &str)]) -> KnownServices {
    let mut known = KnownServices::default();
    for (service, place) in names {
        let service = ServiceName::new(*service).expect("name");
        let place = PlaceName::new(*place).expect("name");
        known.services.insert(service.clone());
        known.placements.insert(KnownPlacement { service, place });
    }
    known
}

fn readable(text: &str) -> Vec<NumberedRow> {
    let parsed = parse_rows(text);
    assert_eq!(parsed.findings, []);
    parsed.rows
}

fn findings_of(text: &str, known: Option<&KnownServices>) -> String {
    let findings = check_table(text, known).findings;
    let verdict = if has_errors(&findings) {
        "refused"
    } else {
        "fine"
    };
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    format!("{}\n{verdict}", lines.join("\n"))
}

#[test]
fn all_unreadable_cells_are_named_at_once() {
    let text = "service,place,hours,weight,limit\n\
        screening 1,bangkok,6-18,10,200\n\
        screening-1,,6-25,ten,-1\n\
        ,,,,\n\
        screening-1,phuket,06-Dec,10,200,extra\n\
        screening-1,phuket\n";
    insta::assert_snapshot!(findings_of(text, None));
}

#[test]
fn an_unexpected_header_is_shown() {
    insta::assert_snapshot!(findings_of(
        "service;place;hours;weight;limit\na;b;0-24;1;1\n",
        None
    ));
}

#[test]
fn rows_are_checked_against_each_other_and_the_configuration() {
    let text = "service,place,hours,weight,limit\n\
        screening-1,bangkok,6-18,10,200\n\
        screening-1,bangkok,16-22,10,200\n\
        screening-1,bangkok,16-22,0,200\n\
        screening-1,phuket,22-2,0,200\n\
        screening-1,muscat,0-24,1,0\n\
        screnning-2,bangkok,0-24,1,1\n";
    let known = known(&[
        ("screening-1", "bangkok"),
        ("screening-1", "phuket"),
        ("appeals", "bangkok"),
    ]);
    insta::assert_snapshot!(findings_of(text, Some(&known)));
}

#[test]
fn changes_by_spreadsheets_are_tolerated() {
    let text = "\u{feff}Place, service ,Hours,Weight,Limit\r\n\
        bangkok, screening-1 ,18 - 0,10,200\r\n\
        ,,,,\r\n\
        \"bangkok\",screening-1,0-18,\"5\",100\r\n";
    let rows = readable(text);
    assert_eq!(rows.iter().map(|row| row.line).collect::<Vec<_>>(), [2, 4]);
    let rows: Vec<TableRow> = rows.into_iter().map(|numbered| numbered.row).collect();
    let expected = "service,place,hours,weight,limit\n\
        screening-1,bangkok,0-18,5,100\n\
        screening-1,bangkok,18-24,10,200\n";
    assert_eq!(write_rows(&rows), expected);
}

fn any_row() -> impl Strategy<Value = TableRow> {
    let name = "[a-z][a-z0-9-]{0,5}";
    (name, name, 0u8..24, 0u8..=24, any::<u32>(), any::<u32>()).prop_map(
        |(service, place, start, end, weight, limit)| TableRow {
            service: ServiceName::new(service).expect("name"),
            place: PlaceName::new(place).expect("name"),
            hours: HourRange { start, end },
            weight,
            limit,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn writing_and_reading_again_changes_nothing(rows in proptest::collection::vec(any_row(), 0..8)) {
        let text = write_rows(&rows);
        let read = readable(&text);
        let read: Vec<TableRow> = read.into_iter().map(|numbered| numbered.row).collect();
        prop_assert_eq!(&write_rows(&read), &text);
        prop_assert_eq!(read.len(), rows.len());
        for hour in 0..24 {
            let meaning = |rows: &[TableRow]| {
                let rows = rows.iter().filter(|row| row.hours.contains(hour));
                let mut cells: Vec<_> = rows.map(|row| (row.service.clone(), row.place.clone(), row.weight, row.limit)).collect();
                cells.sort();
                cells
            };
            prop_assert_eq!(meaning(&read), meaning(&rows));
        }
    }

    #[test]
    fn a_table_without_errors_has_at_most_one_row_for_each_hour(
        hours in proptest::collection::vec((0u8..24, 0u8..=24, any::<bool>()), 1..5),
    ) {
        let rows: Vec<NumberedRow> = (2u64..).zip(hours).map(|(line, (start, end, first))| NumberedRow {
            line,
            row: TableRow {
                service: ServiceName::new("s").expect("name"),
                place: PlaceName::new(if first { "a" } else { "b" }).expect("name"),
                hours: HourRange { start, end },
                weight: 1,
                limit: 10,
            },
        }).collect();
        let most = (0..24u8).flat_map(|hour| ["a", "b"].map(|place| (hour, place))).map(|(hour, place)| {
            rows.iter().filter(|row| row.row.hours.contains(hour) && row.row.place.as_str() == place).count()
        }).max();
        prop_assert_eq!(has_errors(&check_rows(&rows, None)), most > Some(1));
    }
}
