//! Reads the operators' table that lies beside a description.

use eyre::WrapErr;
use std::path::Path;
use tansylead_types::{TableRow, TrafficTable};

/// Name of the table inside a deployment's directory.
pub const TABLE_FILE: &str = "table.csv";

/// Reads the table in a deployment's directory.
pub fn load(directory: &Path) -> eyre::Result<TrafficTable> {
    let file = directory.join(TABLE_FILE);
    let mut reader =
        csv::Reader::from_path(&file).wrap_err_with(|| format!("read {}", file.display()))?;
    let rows: Result<Vec<TableRow>, csv::Error> = reader.deserialize().collect();
    let rows = rows.wrap_err_with(|| format!("read {}", file.display()))?;
    Ok(TrafficTable {
        rows,
        recent_changes: Vec::new(),
    })
}
