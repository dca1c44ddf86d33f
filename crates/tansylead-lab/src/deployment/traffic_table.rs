//! Reads the operators' table that lies beside a description, with the product's own checks.

use eyre::WrapErr;
use std::path::Path;
use tansylead_table::{Finding, check_rows, has_errors, parse_rows};
use tansylead_types::TrafficTable;

/// Name of the table inside a deployment's directory.
pub const TABLE_FILE: &str = "table.csv";

/// Reads and checks the table in a deployment's directory.
pub fn load(directory: &Path) -> eyre::Result<TrafficTable> {
    let file = directory.join(TABLE_FILE);
    let text =
        std::fs::read_to_string(&file).wrap_err_with(|| format!("read {}", file.display()))?;
    let refuse = |findings: &[Finding]| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        eyre::eyre!("{}: {}", file.display(), lines.join("; "))
    };
    let parsed = parse_rows(&text);
    let mut findings = parsed.findings;
    findings.extend(check_rows(&parsed.rows, None));
    if has_errors(&findings) {
        return Err(refuse(&findings));
    }
    Ok(TrafficTable {
        rows: parsed
            .rows
            .into_iter()
            .map(|numbered| numbered.row)
            .collect(),
        recent_changes: Vec::new(),
    })
}
