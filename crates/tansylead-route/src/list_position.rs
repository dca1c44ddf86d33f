//! Position of a list that was read in pages.
//!
//! Each page is as old as the replica of the source that answered it, so the pages of one list may have different
//! positions, in any order.

use crate::revision::{Era, Revision};
use serde::{Deserialize, Serialize};

/// The positions up to which the entries of a list are known. Each page covers a range of names, including those
/// that are not in the list. All pages are of one era.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// Position of the page with the first names.
    first: Revision,
    /// The other pages, in the order of their names.
    later: Vec<LaterPage>,
}

/// A page other than the first one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LaterPage {
    /// The page covers the names after this one, up to those of the next page.
    after: String,
    at: Revision,
}

impl From<Revision> for ListPosition {
    /// The position of a list whose entries are all known up to the same revision.
    fn from(at: Revision) -> Self {
        Self {
            first: at,
            later: Vec::new(),
        }
    }
}

impl ListPosition {
    /// Adds the page that covers the names after `after`, which are after those of the earlier pages.
    pub fn add_page(&mut self, after: &str, at: Revision) {
        let previous = self.later.last().map_or(self.first, |page| page.at);
        if at != previous {
            self.later.push(LaterPage {
                after: after.to_owned(),
                at,
            });
        }
    }

    /// The position that holds for every entry: a watch from here tells all that the list lacks.
    pub fn lowest(&self) -> Revision {
        self.positions().fold(self.first, Revision::min)
    }

    /// The position that no entry is ahead of.
    pub fn highest(&self) -> Revision {
        self.positions().fold(self.first, Revision::max)
    }

    /// The common position of all entries; none if the pages differ.
    pub fn uniform(&self) -> Option<Revision> {
        self.later.is_empty().then_some(self.first)
    }

    /// Era of the pages.
    pub fn era(&self) -> Era {
        self.first.era
    }

    /// The position up to which the entry of this name is known.
    pub fn of(&self, name: &str) -> Revision {
        let page = self.later.iter().rev().find(|page| *page.after < *name);
        page.map_or(self.first, |page| page.at)
    }

    /// Raises the position of all entries that are behind `at`.
    pub fn raise_to(&mut self, at: Revision) {
        self.merge(&Self::from(at));
    }

    /// Raises the position of each entry to the one in `other`, where that is later.
    pub fn merge(&mut self, other: &Self) {
        let mut merged = Self::from(self.first.max(other.first));
        for after in self.boundaries(other) {
            let position = self.after(after).max(other.after(after));
            merged.add_page(after, position);
        }
        *self = merged;
    }

    /// The names after which a page of either list begins, in order.
    fn boundaries<'a>(&'a self, other: &'a Self) -> Vec<&'a str> {
        let pages = self.later.iter().chain(&other.later);
        let mut boundaries: Vec<&str> = pages.map(|page| page.after.as_str()).collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        boundaries
    }

    /// The position of the names that follow directly after `name`.
    fn after(&self, name: &str) -> Revision {
        let page = self.later.iter().rev().find(|page| *page.after <= *name);
        page.map_or(self.first, |page| page.at)
    }

    fn positions(&self) -> impl Iterator<Item = Revision> {
        self.later.iter().map(|page| page.at)
    }
}
