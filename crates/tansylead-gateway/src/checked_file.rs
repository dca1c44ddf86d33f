//! Reads settings and routes files, with strict parsing.

use serde::de::DeserializeOwned;
use std::path::Path;

/// A file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("read {path}: {cause}")]
    Unreadable {
        /// File.
        path: String,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The file is not of the expected form.
    #[error("{path}: {cause}")]
    Malformed {
        /// File.
        path: String,
        /// What the parser says.
        cause: Box<toml::de::Error>,
    },
}

/// Reads and parses a TOML file.
pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|cause| FileError::Unreadable {
        path: name.clone(),
        cause,
    })?;
    toml::from_str(&text).map_err(|cause| FileError::Malformed {
        path: name,
        cause: Box::new(cause),
    })
}
