//! Where the programs are.

use eyre::WrapErr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Name of the product's program.
const DAEMON_PROGRAM: &str = "tansylead";

/// Paths of the programs the lab starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Programs {
    lab: PathBuf,
    daemon: Option<PathBuf>,
    daemon_variant: Option<&'static str>,
}

impl Programs {
    /// The running lab program, and the product's program beside it if it is there.
    pub fn beside_current() -> eyre::Result<Self> {
        let lab = std::env::current_exe().wrap_err("find the path of this program")?;
        Ok(Self::beside(&lab))
    }

    /// A lab program, and the product's program beside it if it is there.
    pub fn beside(lab: &Path) -> Self {
        let daemon = lab.with_file_name(DAEMON_PROGRAM);
        Self {
            lab: lab.to_owned(),
            daemon: daemon.is_file().then_some(daemon),
            daemon_variant: None,
        }
    }

    /// Only a lab program; daemons run through its `daemon` subcommand. Tests use this, because
    /// `cargo test` is sure to have built the lab program of the same sources.
    pub fn lab_only(lab: &Path) -> Self {
        Self {
            lab: lab.to_owned(),
            daemon: None,
            daemon_variant: None,
        }
    }

    /// The same programs, but daemons run through the lab's `daemon` subcommand as a variant of
    /// the product.
    pub fn with_daemon_variant(self, variant: &'static str) -> Self {
        Self {
            daemon: None,
            daemon_variant: Some(variant),
            ..self
        }
    }

    /// A command that runs a subcommand of the lab.
    pub fn lab_command(&self, subcommand: &str) -> Command {
        let mut command = Command::new(&self.lab);
        command.arg(subcommand).arg("--exit-with-parent");
        command
    }

    /// A command that runs a daemon with a settings file.
    pub fn daemon_command(&self, settings: &Path) -> Command {
        let mut command = match &self.daemon {
            Some(daemon) => {
                let mut command = Command::new(daemon);
                command.arg("serve");
                command
            }
            None => self.lab_command("daemon"),
        };
        command.arg("--config").arg(settings);
        if let Some(variant) = self.daemon_variant {
            command.arg("--variant").arg(variant);
        }
        command
    }
}
