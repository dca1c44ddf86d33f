//! Counts of running attempts by version of a service.

use std::cell::RefCell;
use tansylead_types::SoftwareVersion;

/// Running attempts by version. Each version that was sent to keeps one short record until this daemon ends.
#[derive(Debug, Default)]
pub(super) struct RunningSends {
    versions: RefCell<Vec<VersionCount>>,
}

#[derive(Debug)]
struct VersionCount {
    version: Option<SoftwareVersion>,
    attempts: u32,
}

impl RunningSends {
    /// Counts an attempt. Returns the index of its version.
    pub(super) fn begin(&self, version: Option<&SoftwareVersion>) -> usize {
        let mut versions = self.versions.borrow_mut();
        let index = versions
            .iter()
            .position(|running| running.version.as_ref() == version);
        let index = index.unwrap_or_else(|| {
            versions.push(VersionCount {
                version: version.cloned(),
                attempts: 0,
            });
            versions.len() - 1
        });
        versions[index].attempts += 1;
        index
    }

    /// Counts the end of an attempt.
    pub(super) fn end(&self, index: usize) {
        if let Some(running) = self.versions.borrow_mut().get_mut(index) {
            running.attempts = running.attempts.saturating_sub(1);
        }
    }

    /// Running attempts at leafs of other versions than `target`, and at leafs of `target`.
    pub(super) fn split_by_target(&self, target: &SoftwareVersion) -> (u32, u32) {
        let versions = self.versions.borrow();
        versions.iter().fold((0, 0), |(old, new), running| {
            if running.version.as_ref() == Some(target) {
                (old, new + running.attempts)
            } else {
                (old + running.attempts, new)
            }
        })
    }
}
