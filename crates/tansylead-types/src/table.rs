//! The operators' table: for each service, place and range of hours, the share of traffic (weight)
//! and its maximum rate (limit).

use crate::{ChangeId, PlaceName, ServiceName, WallTime};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Hours in a day.
pub const HOURS_PER_DAY: u8 = 24;

/// Hours of the day, UTC, from `start` (inclusive) to `end` (exclusive); wraps past midnight when
/// `end <= start`, so `0-0` and `0-24` are the whole day. Written `18-6`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct HourRange {
    /// First hour, 0 to 23.
    pub start: u8,
    /// Hour after the last, 0 to 24.
    pub end: u8,
}

impl HourRange {
    /// Whether the hour (0 to 23) lies in the range.
    pub fn contains(self, hour: u8) -> bool {
        if self.start < self.end {
            (self.start..self.end).contains(&hour)
        } else {
            hour >= self.start || hour < self.end
        }
    }
}

impl fmt::Display for HourRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.start, self.end)
    }
}

impl From<HourRange> for String {
    fn from(range: HourRange) -> String {
        range.to_string()
    }
}

/// A text that is not a range of hours.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a range of hours such as `6-18` (start 0 to 23, end 0 to 24)")]
pub struct InvalidHourRange(pub String);

impl std::str::FromStr for HourRange {
    type Err = InvalidHourRange;
    fn from_str(text: &str) -> Result<Self, InvalidHourRange> {
        let invalid = || InvalidHourRange(text.to_owned());
        let (start, end) = text.split_once('-').ok_or_else(invalid)?;
        let start: u8 = start.trim().parse().map_err(|_| invalid())?;
        let end: u8 = end.trim().parse().map_err(|_| invalid())?;
        if start < HOURS_PER_DAY && end <= HOURS_PER_DAY {
            Ok(Self { start, end })
        } else {
            Err(invalid())
        }
    }
}

impl TryFrom<String> for HourRange {
    type Error = InvalidHourRange;
    fn try_from(text: String) -> Result<Self, InvalidHourRange> {
        text.parse()
    }
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRow {
    /// Service.
    pub service: ServiceName,
    /// Place that receives the traffic.
    pub place: PlaceName,
    /// Hours of the day, UTC.
    pub hours: HourRange,
    /// Relative share of the service's queries sent to this place; 0 takes none.
    pub weight: u32,
    /// Maximum queries per second that this place accepts for the service.
    pub limit: u32,
}

/// Maximum length of [`TrafficTable::recent_changes`].
pub const RECENT_CHANGES: usize = 64;

/// One accepted change of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Generation of the table that the change created.
    pub generation: u64,
    /// Identifies the change.
    pub change: ChangeId,
    /// When it was proposed, by the author's clock.
    pub proposed_at: WallTime,
    /// Who proposed it.
    pub author: String,
    /// Why, in one line.
    pub comment: String,
}

/// The whole table, always written as one change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TrafficTable {
    /// Rows; at most one applies to each (service, place, hour).
    pub rows: Vec<TableRow>,
    /// The last accepted changes, oldest first, at most [`RECENT_CHANGES`]. An author who lost the
    /// answer to a write finds the change here even if others have changed the table since.
    #[serde(default)]
    pub recent_changes: Vec<TableChange>,
}

impl TrafficTable {
    /// A table without recorded changes.
    pub fn from_rows(rows: Vec<TableRow>) -> Self {
        Self {
            rows,
            recent_changes: Vec::new(),
        }
    }

    /// The row in force for a service, place and hour of the day (UTC, 0 to 23).
    pub fn row(&self, service: &ServiceName, place: &PlaceName, hour: u8) -> Option<&TableRow> {
        self.rows
            .iter()
            .find(|row| row.service == *service && row.place == *place && row.hours.contains(hour))
    }
}
