//! Checks of a whole table: rows against each other and against the configuration.
//!
//! Errors: two rows for the same service, place and hour; all weights of a service zero at an hour;
//! a service or placement that is missing in the configuration. Warnings: hours of a service that
//! no row covers, a service without rows, and limits too low for rows with a weight.

use crate::csv_form::{NumberedRow, ParsedRows, parse_rows};
use crate::finding::{Column, Finding, Severity};
use crate::hours::format_ranges;
use std::collections::{BTreeMap, BTreeSet};
use tansylead_types::table::HOURS_PER_DAY;
use tansylead_types::{PlaceName, ServiceName};

/// At least two roots share a limit; below this value one of them gets less than one query per
/// second.
pub const LOWEST_USEFUL_LIMIT: u32 = 2;

/// A service that has leafs in a place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownPlacement {
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
}

/// Services and placements in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownServices {
    /// Defined services.
    pub services: BTreeSet<ServiceName>,
    /// Services and places with leafs.
    pub placements: BTreeSet<KnownPlacement>,
}

/// The readable rows of a table, and all findings about it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CheckedTable {
    /// Rows that can be read.
    pub rows: Vec<NumberedRow>,
    /// Findings, ordered by line.
    pub findings: Vec<Finding>,
}

/// Reads and checks a CSV text. If some rows cannot be read, warnings are omitted: those rows might
/// be their cause.
pub fn check_table(text: &str, known: Option<&KnownServices>) -> CheckedTable {
    let ParsedRows { rows, mut findings } = parse_rows(text);
    let mut row_findings = check_rows(&rows, known);
    if !findings.is_empty() {
        row_findings.retain(|finding| finding.severity == Severity::Error);
    }
    findings.extend(row_findings);
    findings.sort();
    CheckedTable { rows, findings }
}

/// Checks rows, also against the configuration if it is given. Findings are ordered by line.
pub fn check_rows(rows: &[NumberedRow], known: Option<&KnownServices>) -> Vec<Finding> {
    let mut findings = check_overlaps(rows);
    findings.extend(check_limits(rows));
    let mut services: BTreeSet<&ServiceName> = rows.iter().map(|row| &row.row.service).collect();
    if let Some(known) = known {
        findings.extend(check_names(rows, known));
        services.extend(&known.services);
    }
    for service in services {
        findings.extend(check_hours(service, rows));
    }
    findings.sort();
    findings
}

/// Returns an error for each row that shares an hour with an earlier one.
fn check_overlaps(rows: &[NumberedRow]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, later) in rows.iter().enumerate() {
        let same_target = |earlier: &&NumberedRow| {
            earlier.row.service == later.row.service && earlier.row.place == later.row.place
        };
        for earlier in rows[..index].iter().filter(same_target) {
            let shared: Vec<u8> = (0..HOURS_PER_DAY)
                .filter(|&hour| earlier.row.hours.contains(hour) && later.row.hours.contains(hour))
                .collect();
            if !shared.is_empty() {
                let message = format!(
                    "{} in {} has hours {} on line {} already",
                    later.row.service,
                    later.row.place,
                    format_ranges(&shared),
                    earlier.line
                );
                findings.push(Finding::cell(later.line, Column::Hours, message));
            }
        }
    }
    findings
}

fn check_limits(rows: &[NumberedRow]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let with_weight = rows.iter().filter(|numbered| numbered.row.weight > 0);
    for NumberedRow { line, row } in with_weight {
        let message = match row.limit {
            0 => "the limit is 0, so the place takes nothing whatever its weight".to_owned(),
            limit if limit < LOWEST_USEFUL_LIMIT => format!(
                "the limit {limit} is below {LOWEST_USEFUL_LIMIT}: its roots share it and get \
                 less than 1 query per second each"
            ),
            _ => continue,
        };
        findings.push(Finding::cell(*line, Column::Limit, message).as_warning());
    }
    findings
}

fn check_names(rows: &[NumberedRow], known: &KnownServices) -> Vec<Finding> {
    let mut findings = Vec::new();
    for NumberedRow { line, row } in rows {
        let placement = KnownPlacement {
            service: row.service.clone(),
            place: row.place.clone(),
        };
        if !known.services.contains(&row.service) {
            let message = format!("no service is named {}", row.service);
            findings.push(Finding::cell(*line, Column::Service, message));
        } else if !known.placements.contains(&placement) {
            let message = format!("{} has no leafs in {}", row.service, row.place);
            findings.push(Finding::cell(*line, Column::Place, message));
        }
    }
    findings
}

fn check_hours(service: &ServiceName, rows: &[NumberedRow]) -> Vec<Finding> {
    let of_service = || rows.iter().filter(|row| row.row.service == *service);
    let mut uncovered = Vec::new();
    // Hours whose weights are all 0, by the line of the last row that covers them.
    let mut weightless: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
    for hour in 0..HOURS_PER_DAY {
        let covering = || of_service().filter(|row| row.row.hours.contains(hour));
        match covering().map(|row| row.line).max() {
            None => uncovered.push(hour),
            Some(line) if covering().all(|row| row.row.weight == 0) => {
                weightless.entry(line).or_default().push(hour);
            }
            Some(_) => {}
        }
    }
    let mut findings = Vec::new();
    for (line, hours) in weightless {
        let hours = format_ranges(&hours);
        let message = format!("{service}: all weights are 0 in hours {hours}");
        findings.push(Finding::cell(line, Column::Weight, message));
    }
    if !uncovered.is_empty() {
        let hours = format_ranges(&uncovered);
        let message = format!("{service}: no row covers hours {hours}; queries are refused then");
        findings.push(Finding::table(message).as_warning());
    }
    findings
}
