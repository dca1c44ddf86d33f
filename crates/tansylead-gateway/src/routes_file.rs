//! Routes, services, leafs and roll-outs in a file of the product's own format, to run the gateway without
//! a platform.
//!
//! The file is read every half second. A greater version is applied; a file that cannot be used is refused
//! with the reason and changes nothing.

mod documents;
mod error;
mod roll_outs;

use crate::checked_file;
use crate::source::{Freshness, Source, SourceContent, SourceError, SourceUpdate, Topic, WriteEnd};
use documents::RoutesDocument;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tansylead_route::{
    Configuration, DirectoryDelta, EvacuatedZones, LeafEntry, Revision, RollOut, RollOutState,
    RollOuts,
};
use tansylead_types::{ServiceName, StepError, ZoneName};
use tokio::time::Instant;

pub use error::RoutesFileError;

/// Period at which the file is read.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Contents of a routes file.
#[derive(Debug, Clone)]
pub struct RoutesFile {
    /// Configuration.
    pub configuration: Configuration,
    /// Leafs.
    pub leafs: Vec<LeafEntry>,
    /// Zones that are being emptied.
    pub evacuated_zones: BTreeSet<ZoneName>,
    /// Orders to roll out.
    pub roll_outs: BTreeMap<ServiceName, RollOut>,
}

impl RoutesFile {
    /// Reads and checks a routes file.
    pub fn load(path: &Path) -> Result<Self, RoutesFileError> {
        let document: RoutesDocument = checked_file::read(path)?;
        document.check(&path.display().to_string())?;
        Ok(document.into_file())
    }
}

/// A routes file as a source. Its version is the revision of all topics.
#[derive(Debug)]
pub struct RoutesFileSource {
    path: PathBuf,
}

impl RoutesFileSource {
    /// A source over the file at this path.
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    fn load(&self) -> Result<RoutesFile, SourceError> {
        RoutesFile::load(&self.path).map_err(|cause| {
            let path = self.path.display();
            SourceError::Failed(StepError::new("read routes file", path, cause))
        })
    }

    fn update(&self, topic: Topic) -> Result<SourceUpdate, SourceError> {
        let file = self.load()?;
        let at = Revision::first_era(file.configuration.version);
        let content = match topic {
            Topic::Configuration => {
                SourceContent::Configuration(Some(Box::new(file.configuration)))
            }
            Topic::Leafs => SourceContent::Leafs(DirectoryDelta::Everything {
                at: at.into(),
                entries: file.leafs,
            }),
            Topic::Evacuations => SourceContent::Evacuations(Some(EvacuatedZones {
                at,
                zones: file.evacuated_zones,
            })),
            Topic::RollOuts => SourceContent::RollOuts(Some(RollOuts {
                at,
                orders: file.roll_outs,
            })),
        };
        Ok(SourceUpdate {
            at,
            content,
            skipped: 0,
        })
    }
}

impl Source for RoutesFileSource {
    async fn read(&self, topic: Topic, _: Freshness) -> Result<SourceUpdate, SourceError> {
        self.update(topic)
    }

    async fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> Result<SourceUpdate, SourceError> {
        let deadline = Instant::now() + wait;
        loop {
            let update = self.update(topic)?;
            if update.at > after || Instant::now() >= deadline {
                return Ok(update);
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Always refused: only the operator writes the file.
    async fn write_roll_out_state(
        &self,
        _: &RollOut,
        _: RollOutState,
    ) -> Result<WriteEnd, SourceError> {
        let path = self.path.display();
        let cause = "a routes file is written by its operator only";
        let error = StepError::new("write state of roll-out", path, cause);
        Err(SourceError::Refused(error))
    }

    async fn read_roll_out(&self, service: &ServiceName) -> Result<Option<RollOut>, SourceError> {
        Ok(self.load()?.roll_outs.remove(service))
    }

    /// Does nothing: with a routes file, daemons find each other through the seeds only.
    async fn register(&self, _: SocketAddr) -> Result<(), SourceError> {
        Ok(())
    }

    async fn registered(&self) -> Result<Vec<SocketAddr>, SourceError> {
        Ok(Vec::new())
    }
}
