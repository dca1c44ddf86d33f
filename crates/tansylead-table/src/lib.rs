//! The operators' table: CSV form, checks, differences, proposals and acceptance.
//!
//! Nothing here performs I/O or reads a clock. The steps of a change: [`check_table`] validates the
//! operator's CSV file, a [`Proposal`] binds it to the generation it is based on,
//! [`TableDifference`] describes what it changes, and [`Acceptance`] drives the compare-and-set
//! against the store.

pub mod accept;
mod check;
mod csv_form;
mod difference;
mod finding;
mod hours;
mod proposal;

pub use accept::{AcceptAction, AcceptEvent, AcceptOutcome, AcceptSettings, Acceptance};
pub use check::{CheckedTable, KnownPlacement, KnownServices, check_rows, check_table};
pub use csv_form::{NumberedRow, ParsedRows, parse_rows, write_rows};
pub use difference::{RowChange, RowKey, TableDifference, TotalChange};
pub use finding::{Column, Finding, Severity, has_errors};
pub use proposal::{Base, Draft, Proposal, ProposalError, STARTING_GENERATION};
