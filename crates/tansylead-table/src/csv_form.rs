//! The CSV form `service,place,hours,weight,limit`.
//!
//! Reading reports every error, each with line and column, and tolerates what spreadsheets change
//! in a file: a byte order mark, blank lines, spaces around cells, columns in another order.
//! Writing is canonical (sorted rows, one form of each range of hours), so that reading and writing
//! again changes nothing and a version control system shows only real changes.

use crate::finding::{Column, Finding};
use crate::hours::canonical_range;
use csv::StringRecord;
use std::fmt::Display;
use std::str::FromStr;
use tansylead_types::TableRow;

const BYTE_ORDER_MARK: char = '\u{feff}';

/// A row with the line it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberedRow {
    /// Line of the file, from 1.
    pub line: u64,
    /// The row.
    pub row: TableRow,
}

/// Rows and errors of a CSV text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ParsedRows {
    /// Rows that can be read.
    pub rows: Vec<NumberedRow>,
    /// Errors in all other rows.
    pub findings: Vec<Finding>,
}

/// Reads a CSV text.
pub fn parse_rows(text: &str) -> ParsedRows {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    // The CSV reader miscounts lines that end in "\r\n".
    let text = text.replace("\r\n", "\n");
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = reader.headers();
    let positions = header
        .map_err(|cause| Finding::line(1, cause))
        .and_then(column_positions);
    let mut parsed = ParsedRows::default();
    let positions = match positions {
        Ok(positions) => positions,
        Err(finding) => {
            parsed.findings.push(finding);
            return parsed;
        }
    };
    for record in reader.records() {
        match record {
            Ok(record) if record.iter().all(str::is_empty) => {}
            Ok(record) => match parse_record(&record, &positions) {
                Ok(row) => parsed.rows.push(row),
                Err(errors) => parsed.findings.extend(errors),
            },
            Err(cause) => parsed.findings.push(unreadable_record(&cause)),
        }
    }
    parsed
}

/// Sorts the rows and brings each range of hours into canonical form.
pub(crate) fn canonical_rows(rows: &[TableRow]) -> Vec<TableRow> {
    let canonical_row = |row: &TableRow| TableRow {
        hours: canonical_range(row.hours),
        ..row.clone()
    };
    let mut rows: Vec<TableRow> = rows.iter().map(canonical_row).collect();
    rows.sort();
    rows
}

/// Writes rows in canonical form.
pub fn write_rows(rows: &[TableRow]) -> String {
    let mut text = Column::ALL.map(Column::name).join(",");
    text.push('\n');
    for row in canonical_rows(rows) {
        // Names and ranges hold neither commas nor quotes, so no cell needs quoting.
        let TableRow {
            service,
            place,
            hours,
            weight,
            limit,
        } = row;
        text.push_str(&format!("{service},{place},{hours},{weight},{limit}\n"));
    }
    text
}

/// Position of each column, in the order of [`Column::ALL`].
fn column_positions(header: &StringRecord) -> Result<[usize; 5], Finding> {
    let expected = Column::ALL.map(Column::name);
    let used = header.iter().filter(|name| !name.is_empty());
    let mut names: Vec<String> = used.map(str::to_ascii_lowercase).collect();
    names.sort_unstable();
    let mut wanted = expected.to_vec();
    wanted.sort_unstable();
    if names != wanted {
        let found: Vec<&str> = header.iter().collect();
        let message = format!(
            "the header must name the columns {}, separated by commas; found {}",
            expected.join(","),
            found.join(",")
        );
        return Err(Finding::line(1, message));
    }
    let position = |name: &str| {
        let mut cells = header.iter();
        cells.position(|cell| cell.eq_ignore_ascii_case(name))
    };
    Ok(expected.map(|name| position(name).unwrap_or_default()))
}

fn parse_record(
    record: &StringRecord,
    positions: &[usize; 5],
) -> Result<NumberedRow, Vec<Finding>> {
    let line = record.position().map_or(0, csv::Position::line);
    let mut findings = Vec::new();
    let extra_cells = record.iter().skip(positions.len());
    if extra_cells.filter(|cell| !cell.is_empty()).count() > 0 {
        findings.push(Finding::line(line, "more cells than columns"));
    }
    let mut cells = Cells {
        record,
        positions,
        line,
        findings,
    };
    let service = cells.parse(Column::Service);
    let place = cells.parse(Column::Place);
    let hours = cells.parse(Column::Hours);
    let weight = cells.parse_number(Column::Weight);
    let limit = cells.parse_number(Column::Limit);
    match (service, place, hours, weight, limit) {
        (Some(service), Some(place), Some(hours), Some(weight), Some(limit))
            if cells.findings.is_empty() =>
        {
            let row = TableRow {
                service,
                place,
                hours: canonical_range(hours),
                weight,
                limit,
            };
            Ok(NumberedRow { line, row })
        }
        _ => Err(cells.findings),
    }
}

/// Parses the cells of one record and collects the errors.
struct Cells<'a> {
    record: &'a StringRecord,
    positions: &'a [usize; 5],
    line: u64,
    findings: Vec<Finding>,
}

impl Cells<'_> {
    fn parse<T: FromStr<Err: Display>>(&mut self, column: Column) -> Option<T> {
        let parsed = self.text(column)?.parse::<T>();
        match parsed {
            Ok(value) => Some(value),
            Err(cause) => {
                self.findings.push(Finding::cell(self.line, column, cause));
                None
            }
        }
    }

    fn parse_number(&mut self, column: Column) -> Option<u32> {
        let text = self.text(column)?;
        match text.parse() {
            Ok(number) => Some(number),
            Err(_) => {
                let message = format!("`{text}` is not a whole number from 0 to {}", u32::MAX);
                self.findings
                    .push(Finding::cell(self.line, column, message));
                None
            }
        }
    }

    fn text(&mut self, column: Column) -> Option<String> {
        let text = self.record.get(self.positions[column as usize]);
        match text {
            Some(text) if !text.is_empty() => Some(text.to_owned()),
            _ => {
                self.findings
                    .push(Finding::cell(self.line, column, "is empty"));
                None
            }
        }
    }
}

fn unreadable_record(cause: &csv::Error) -> Finding {
    match cause.position() {
        Some(position) => Finding::line(position.line(), cause),
        None => Finding::table(cause),
    }
}
