//! Proposals: a changed table bound to the generation it is based on, as a TOML document that can
//! be kept in version control.
//!
//! The document contains both tables as CSV text, so a review needs nothing else, and the change
//! id, so accepting the same document again finds the result of an earlier attempt and never
//! applies it twice. The change id ends in a digest of the contents: an edited document is refused,
//! because one change id must never identify two different contents.

use crate::csv_form::{ParsedRows, canonical_rows, parse_rows, write_rows};
use crate::finding::Finding;
use serde::{Deserialize, Serialize};
use tansylead_types::ids::InvalidName;
use tansylead_types::{ChangeId, ConfigObject, StoredObject, TableRow, WallTime};
use xxhash_rust::xxh3::xxh3_64;

/// Generation of a table that has never been written.
pub const STARTING_GENERATION: u64 = 0;

/// The table that a proposal is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Base {
    /// Its generation; [`STARTING_GENERATION`] if there is no table.
    pub generation: u64,
    /// The change that created it; none if there is no table.
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
    /// When it was created, by the author's clock.
    pub proposed_at: WallTime,
    /// The table it is based on.
    pub base: Base,
    /// The proposed rows.
    pub rows: Vec<TableRow>,
}

/// Contents of a new proposal, without its change id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// Who proposes it.
    pub author: String,
    /// Why, in one line.
    pub comment: String,
    /// When, by the author's clock.
    pub proposed_at: WallTime,
    /// The table it is based on.
    pub base: Base,
    /// The proposed rows.
    pub rows: Vec<TableRow>,
}

/// Why a document cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The document does not have the expected form.
    #[error("{0}")]
    Document(String),
    /// The contents do not match the change id.
    #[error("it was edited after it was made; edit the table and propose again")]
    Edited,
    /// The change id is not a valid name.
    #[error(transparent)]
    ChangeId(#[from] InvalidName),
    /// A table in the document has errors.
    #[error("{table}: {}", join_findings(.findings))]
    Table {
        /// Which table.
        table: &'static str,
        /// What is wrong, with lines counted inside that table.
        findings: Vec<Finding>,
    },
}

fn join_findings(findings: &[Finding]) -> String {
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
    /// The base for the stored table; none if the table has never been written.
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

    /// Formats the document.
    pub fn to_document(&self) -> Result<String, ProposalError> {
        serialize(&BaseDocument::of(self))
    }

    /// Parses a document.
    pub fn from_document(text: &str) -> Result<Self, ProposalError> {
        deserialize::<BaseDocument>(text)?.read()
    }
}

impl Proposal {
    /// Creates a proposal; `random` distinguishes proposals with the same contents.
    pub fn new(random: u64, draft: Draft) -> Result<Self, ProposalError> {
        let change = ChangeId::new(format!("{random:016x}-{:016x}", digest(&draft)))?;
        let Draft {
            author,
            comment,
            proposed_at,
            base,
            rows,
        } = draft;
        Ok(Self {
            change,
            author,
            comment,
            proposed_at,
            base,
            rows,
        })
    }

    /// Formats the document.
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

    /// Parses a document.
    pub fn from_document(text: &str) -> Result<Self, ProposalError> {
        let document: ProposalDocument = deserialize(text)?;
        let draft = Draft {
            author: document.author,
            comment: document.comment,
            proposed_at: document.proposed_at,
            base: document.base.read()?,
            rows: read_table("proposed table", &document.table)?,
        };
        let random = document.change.as_str().split('-').next();
        let random = random.and_then(|text| u64::from_str_radix(text, 16).ok());
        let proposal = Self::new(random.ok_or(ProposalError::Edited)?, draft)?;
        if proposal.change != document.change {
            return Err(ProposalError::Edited);
        }
        Ok(proposal)
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

fn digest(draft: &Draft) -> u64 {
    let base_change = draft.base.change.as_ref().map_or("", ChangeId::as_str);
    // The debug form escapes zero bytes and no other part contains one, so the text is unambiguous.
    let text = format!(
        "{:?}\0{:?}\0{}\0{}\0{base_change}\0{}\0{}",
        draft.author,
        draft.comment,
        draft.proposed_at.0,
        draft.base.generation,
        write_rows(&draft.base.rows),
        write_rows(&draft.rows),
    );
    xxh3_64(text.as_bytes())
}

fn read_table(table: &'static str, text: &str) -> Result<Vec<TableRow>, ProposalError> {
    let ParsedRows { rows, findings } = parse_rows(text);
    if !findings.is_empty() {
        return Err(ProposalError::Table { table, findings });
    }
    Ok(rows.into_iter().map(|numbered| numbered.row).collect())
}

fn serialize(document: &impl Serialize) -> Result<String, ProposalError> {
    toml::to_string_pretty(document).map_err(|cause| ProposalError::Document(cause.to_string()))
}

fn deserialize<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, ProposalError> {
    toml::from_str(text).map_err(|cause| ProposalError::Document(cause.to_string()))
}
