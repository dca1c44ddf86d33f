//! Findings about a table: what is wrong, and in which row and column.

use std::fmt;

/// Columns of the CSV form, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Column {
    /// `service`
    Service,
    /// `place`
    Place,
    /// `hours`
    Hours,
    /// `weight`
    Weight,
    /// `limit`
    Limit,
}

impl Column {
    /// All columns, in order.
    pub const ALL: [Column; 5] = [
        Column::Service,
        Column::Place,
        Column::Hours,
        Column::Weight,
        Column::Limit,
    ];

    /// The name in the header line.
    pub fn name(self) -> &'static str {
        match self {
            Column::Service => "service",
            Column::Place => "place",
            Column::Hours => "hours",
            Column::Weight => "weight",
            Column::Limit => "limit",
        }
    }
}

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The table cannot be proposed.
    Error,
    /// The table can be proposed; the operator should review this.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        })
    }
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line of the file, from 1; none if it concerns the whole table.
    pub line: Option<u64>,
    /// Column; none if it concerns the whole row.
    pub column: Option<Column>,
    /// Severity.
    pub severity: Severity,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// An error in one cell.
    pub fn cell(line: u64, column: Column, message: impl fmt::Display) -> Self {
        Self {
            line: Some(line),
            column: Some(column),
            severity: Severity::Error,
            message: message.to_string(),
        }
    }

    /// An error in a whole line.
    pub fn line(line: u64, message: impl fmt::Display) -> Self {
        Self {
            line: Some(line),
            column: None,
            severity: Severity::Error,
            message: message.to_string(),
        }
    }

    /// An error in the whole table.
    pub fn table(message: impl fmt::Display) -> Self {
        Self {
            line: None,
            column: None,
            severity: Severity::Error,
            message: message.to_string(),
        }
    }

    /// The same finding as a warning.
    pub fn as_warning(self) -> Self {
        Self {
            severity: Severity::Warning,
            ..self
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.severity)?;
        if let Some(line) = self.line {
            write!(formatter, "line {line}")?;
            if let Some(column) = self.column {
                write!(formatter, ", column {}", column.name())?;
            }
            formatter.write_str(": ")?;
        }
        formatter.write_str(&self.message)
    }
}

/// Whether any finding is an error.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity == Severity::Error)
}
