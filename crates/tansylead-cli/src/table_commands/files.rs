//! Files next to an operator's table: `FILE.base` (the state it was pulled from) and
//! `FILE.proposal-G.toml` (a proposal based on generation G).

use crate::exit_code::ExitStatus;
use eyre::WrapErr;
use std::path::{Path, PathBuf};
use tansylead_table::{Base, Finding, Proposal, has_errors};

const BASE_SUFFIX: &str = ".base";

/// The file that holds the base of a table.
pub fn base_file(table: &Path) -> PathBuf {
    with_suffix(table, BASE_SUFFIX)
}

/// The file that a proposal of a table is written to.
pub fn proposal_file(table: &Path, base_generation: u64) -> PathBuf {
    with_suffix(table, &format!(".proposal-{base_generation}.toml"))
}

fn with_suffix(file: &Path, suffix: &str) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}

/// Reads a whole file.
pub fn read(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))
}

/// Writes a whole file.
pub fn write(file: &Path, text: &str) -> eyre::Result<()> {
    std::fs::write(file, text).wrap_err_with(|| format!("write {}", file.display()))
}

/// Reads the base of a table.
pub fn read_base(table: &Path) -> eyre::Result<Base> {
    let file = base_file(table);
    let text = read(&file).wrap_err("a table that was pulled has its base beside it")?;
    Base::from_document(&text).wrap_err_with(|| format!("read {}", file.display()))
}

/// Reads a proposal.
pub fn read_proposal(file: &Path) -> eyre::Result<Proposal> {
    Proposal::from_document(&read(file)?).wrap_err_with(|| format!("read {}", file.display()))
}

/// Prints findings, each after the name of the file, and returns the matching exit status.
pub fn report(file: &Path, findings: &[Finding]) -> ExitStatus {
    for finding in findings {
        output_line!("{}: {finding}", file.display());
    }
    if has_errors(findings) {
        ExitStatus::TableErrors
    } else {
        ExitStatus::Success
    }
}
