//! The operators' table: CSV form, checks, differences, proposals and acceptance.
//!
//! Nothing here performs I/O or reads a clock. The way of a change:
//! [`check_table`] judges the operator's CSV file, a [`Proposal`] binds it to the
//! generation it was made from, [`TableDifference`] says in words and numbers what it changes, and
//! [`Accept`] drives the compare-and-set against the store.

pub mod accept;
mod check;
mod csv_form;
mod difference;
mod finding;
mod hours;
mod proposal;

pub use accept::{Accept, AcceptAction, AcceptEvent, AcceptOutcome, AcceptSettings};
pub use check::{CheckedTable, KnownPlacement, KnownServices, check_rows, check_table};
pub use csv_form::{NumberedRow, ParsedRows, parse_rows, write_rows};
pub use difference::{RowChange, RowKey, TableDifference, TotalChange};
pub use finding::{Column, Finding, Severity, has_errors};
pub use proposal::{Base, Draft, Proposal, ProposalError, STARTING_GENERATION};
