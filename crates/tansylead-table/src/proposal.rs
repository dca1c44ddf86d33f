//! Proposals: a changed table bound to the generation it was made from, as a TOML document that
//! can lie in version control.
//!
//! The document holds both tables as CSV text, so a review needs nothing else, and the change id,
//! so accepting the same document again finds out what became of an earlier try and never applies
//! it twice.

use crate::csv_form::{canonical_rows, parse_rows, write_rows};
use crate::finding::Finding;
use serde::{Deserialize, Serialize};
use tansylead_types::{ChangeId, ConfigObject, StoredObject, TableRow, WallTime};

/// Generation of a table that was never written.
pub const STARTING_GENERATION: u64 = 0;

/// The table that a proposal was made from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Base {
    /// Its generation; [`STARTING_GENERATION`] if there was none.
    pub generation: u64,
    /// The change that made it; none if there was none.
    pub change: Option<ChangeId>,
    /// Its rows.
    pub rows: Vec<TableRow>,
}

/// A proposed change of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Identifies the change.
    pub change: ChangeId,
    /// Who proposes it.
    pub author: String,
    /// Why, in one line.
    pub comment: String,
    /// When it was made, by the author's clock.
    pub proposed_at: WallTime,
    /// What it was made from.
    pub base: Base,
    /// The proposed rows.
    pub rows: Vec<TableRow>,
}

/// Why a document cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Not a document of the expected form.
    #[error("{0}")]
    Document(String),
    /// A table inside the document is wrong.
    #[error("{table}: {}", joined(.findings))]
    Table {
        /// Which table.
        table: &'static str,
        /// What is wrong, with lines counted inside that table.
        findings: Vec<Finding>,
    },
}

fn joined(findings: &[Finding]) -> String {
    let texts: Vec<String> = findings.iter().map(Finding::to_string).collect();
    texts.join("; ")
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct BaseDocument {
    generation: u64,
    change: Option<ChangeId>,
    table: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ProposalDocument {
    change: ChangeId,
    author: String,
    comment: String,
    proposed_at: WallTime,
    table: String,
    base: BaseDocument,
}

impl Base {
    /// The base that the store's answer stands for.
    pub fn of(stored: Option<&StoredObject>) -> Self {
        let Some(stored) = stored else {
            return Self {
                generation: STARTING_GENERATION,
                change: None,
                rows: Vec::new(),
            };
        };
        let rows = match &stored.object {
            Some(ConfigObject::Table(table)) => canonical_rows(&table.rows),
            _ => Vec::new(),
        };
        Self {
            generation: stored.generation,
            change: Some(stored.change.clone()),
            rows,
        }
    }

    /// The document.
    pub fn to_document(&self) -> Result<String, ProposalError> {
        serialize(&BaseDocument::of(self))
    }

    /// Reads a document.
    pub fn from_document(text: &str) -> Result<Self, ProposalError> {
        deserialize::<BaseDocument>(text)?.read()
    }
}

impl Proposal {
    /// The document.
    pub fn to_document(&self) -> Result<String, ProposalError> {
        serialize(&ProposalDocument {
            change: self.change.clone(),
            author: self.author.clone(),
            comment: self.comment.clone(),
            proposed_at: self.proposed_at,
            table: write_rows(&self.rows),
            base: BaseDocument::of(&self.base),
        })
    }

    /// Reads a document.
    pub fn from_document(text: &str) -> Result<Self, ProposalError> {
        let document: ProposalDocument = deserialize(text)?;
        Ok(Self {
            change: document.change,
            author: document.author,
            comment: document.comment,
            proposed_at: document.proposed_at,
            base: document.base.read()?,
            rows: read_table("proposed table", &document.table)?,
        })
    }
}

impl BaseDocument {
    fn of(base: &Base) -> Self {
        Self {
            generation: base.generation,
            change: base.change.clone(),
            table: write_rows(&base.rows),
        }
    }

    fn read(self) -> Result<Base, ProposalError> {
        Ok(Base {
            generation: self.generation,
            change: self.change,
            rows: read_table("base table", &self.table)?,
        })
    }
}

fn read_table(table: &'static str, text: &str) -> Result<Vec<TableRow>, ProposalError> {
    let rows = parse_rows(text).map_err(|findings| ProposalError::Table { table, findings })?;
    Ok(rows.into_iter().map(|numbered| numbered.row).collect())
}

fn serialize(document: &impl Serialize) -> Result<String, ProposalError> {
    toml::to_string_pretty(document).map_err(|cause| ProposalError::Document(cause.to_string()))
}

fn deserialize<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, ProposalError> {
    toml::from_str(text).map_err(|cause| ProposalError::Document(cause.to_string()))
}
