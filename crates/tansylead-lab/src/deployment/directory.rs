//! The directory in which one run keeps settings files and logs.

use eyre::WrapErr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers the runs of this process.
static NEXT_RUN: AtomicU64 = AtomicU64::new(0);

/// A directory that is removed when dropped, unless it is kept.
#[derive(Debug)]
pub struct RunDirectory {
    path: PathBuf,
    is_kept: bool,
}

impl RunDirectory {
    /// Creates a directory of its own for one run.
    pub fn create() -> eyre::Result<Self> {
        let run = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let name = format!("tansylead-lab-{}-{run}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).wrap_err_with(|| format!("create {}", path.display()))?;
        Ok(Self {
            path,
            is_kept: false,
        })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of a file in it.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Keeps it, so that its logs can be read after a failure.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if !self.is_kept && !std::thread::panicking() {
            // A directory that cannot be removed is left to the system's own cleaning.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
