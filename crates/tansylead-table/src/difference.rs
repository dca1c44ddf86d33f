//! Differences between two tables: changed rows, and the resulting totals by hour.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use tansylead_types::table::HOURS_PER_DAY;
use tansylead_types::{HourRange, PlaceName, ServiceName, TableRow};

/// Identifies a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
    /// Hours.
    pub hours: HourRange,
}

impl RowKey {
    /// The key of a row.
    pub fn of(row: &TableRow) -> Self {
        Self {
            service: row.service.clone(),
            place: row.place.clone(),
            hours: row.hours,
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} {}", self.service, self.place, self.hours)
    }
}

/// Weight and limit of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RowValues {
    /// Weight.
    pub weight: u32,
    /// Limit, queries per second.
    pub limit: u32,
}

/// One row that differs; at least one side is present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Which row.
    pub key: RowKey,
    /// Before; none if the row is new.
    pub before: Option<RowValues>,
    /// After; none if the row is removed.
    pub after: Option<RowValues>,
}

impl fmt::Display for RowChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, before, after } = self;
        match (before, after) {
            (Some(before), Some(after)) => {
                let mut parts = Vec::new();
                if before.weight != after.weight {
                    parts.push(format!("weight {} -> {}", before.weight, after.weight));
                }
                if before.limit != after.limit {
                    parts.push(format!("limit {} -> {}", before.limit, after.limit));
                }
                write!(formatter, "{key}: {}", parts.join(", "))
            }
            (None, Some(RowValues { weight, limit })) => {
                write!(
                    formatter,
                    "{key}: added with weight {weight}, limit {limit}"
                )
            }
            (Some(RowValues { weight, limit }), None) => {
                write!(formatter, "{key}: removed (weight {weight}, limit {limit})")
            }
            (None, None) => write!(formatter, "{key}: unchanged"),
        }
    }
}

/// Totals of a service in one hour, over the places with weight and limit above 0.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HourTotal {
    /// Sum of limits, queries per second.
    pub limit: u64,
    /// Share of each place in the traffic that is distributed by weight, in tenths of a per cent.
    pub shares: BTreeMap<PlaceName, u64>,
}

/// Consecutive hours of a service whose totals change in the same way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TotalChange {
    /// Service.
    pub service: ServiceName,
    /// Hours.
    pub hours: HourRange,
    /// Before.
    pub before: HourTotal,
    /// After.
    pub after: HourTotal,
}

impl fmt::Display for TotalChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        if self.before.limit != self.after.limit {
            let (before, after) = (self.before.limit, self.after.limit);
            parts.push(format!("limit of all places {before} -> {after}"));
        }
        let places: BTreeSet<&PlaceName> = self
            .before
            .shares
            .keys()
            .chain(self.after.shares.keys())
            .collect();
        for place in places {
            let share = |total: &HourTotal| total.shares.get(place).copied().unwrap_or(0);
            let (before, after) = (share(&self.before), share(&self.after));
            if before != after {
                parts.push(format!(
                    "share of {place} {} -> {}",
                    format_percent(before),
                    format_percent(after)
                ));
            }
        }
        write!(
            formatter,
            "{} hours {}: {}",
            self.service,
            self.hours,
            parts.join(", ")
        )
    }
}

fn format_percent(tenths: u64) -> String {
    format!("{}.{} %", tenths / 10, tenths % 10)
}

/// All differences between two tables.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TableDifference {
    /// Rows, ordered by key.
    pub rows: Vec<RowChange>,
    /// Effect by service and hour.
    pub totals: Vec<TotalChange>,
}

impl TableDifference {
    /// Differences from one set of rows to another.
    pub fn between(before: &[TableRow], after: &[TableRow]) -> Self {
        Self {
            rows: changed_rows(before, after),
            totals: changed_totals(before, after),
        }
    }

    /// Whether the tables are equal.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Rows that both differences change.
    pub fn rows_changed_by_both(&self, other: &TableDifference) -> Vec<RowKey> {
        let others: BTreeSet<&RowKey> = other.rows.iter().map(|change| &change.key).collect();
        let keys = self.rows.iter().map(|change| &change.key);
        keys.filter(|key| others.contains(key)).cloned().collect()
    }
}

impl fmt::Display for TableDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(formatter, "no row differs");
        }
        writeln!(formatter, "rows:")?;
        for row in &self.rows {
            writeln!(formatter, "  {row}")?;
        }
        if self.totals.is_empty() {
            return writeln!(formatter, "no total of any hour differs");
        }
        writeln!(formatter, "totals by hour:")?;
        for total in &self.totals {
            writeln!(formatter, "  {total}")?;
        }
        Ok(())
    }
}

fn changed_rows(before: &[TableRow], after: &[TableRow]) -> Vec<RowChange> {
    let (before, after) = (values_by_key(before), values_by_key(after));
    let keys: BTreeSet<&RowKey> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(key) != after.get(key))
        .map(|key| RowChange {
            key: key.clone(),
            before: before.get(key).copied(),
            after: after.get(key).copied(),
        })
        .collect()
}

fn values_by_key(rows: &[TableRow]) -> BTreeMap<RowKey, RowValues> {
    let entry = |row: &TableRow| {
        let values = RowValues {
            weight: row.weight,
            limit: row.limit,
        };
        (RowKey::of(row), values)
    };
    rows.iter().map(entry).collect()
}

fn changed_totals(before: &[TableRow], after: &[TableRow]) -> Vec<TotalChange> {
    let rows = before.iter().chain(after);
    let services: BTreeSet<&ServiceName> = rows.map(|row| &row.service).collect();
    let mut changes: Vec<TotalChange> = Vec::new();
    for service in services {
        for hour in 0..HOURS_PER_DAY {
            let change = TotalChange {
                service: service.clone(),
                hours: HourRange {
                    start: hour,
                    end: hour + 1,
                },
                before: hour_total(service, hour, before),
                after: hour_total(service, hour, after),
            };
            if change.before == change.after {
                continue;
            }
            match changes.last_mut() {
                Some(last) if is_continuation(last, &change) => last.hours.end = hour + 1,
                _ => changes.push(change),
            }
        }
    }
    changes
}

fn is_continuation(last: &TotalChange, next: &TotalChange) -> bool {
    last.service == next.service
        && last.hours.end == next.hours.start
        && last.before == next.before
        && last.after == next.after
}

fn hour_total(service: &ServiceName, hour: u8, rows: &[TableRow]) -> HourTotal {
    let contributing: Vec<&TableRow> = rows
        .iter()
        .filter(|row| row.service == *service && row.hours.contains(hour))
        .filter(|row| row.weight > 0 && row.limit > 0)
        .collect();
    let weights: u64 = contributing.iter().map(|row| u64::from(row.weight)).sum();
    let share = |row: &&TableRow| {
        let tenths = (u64::from(row.weight) * 1_000 + weights / 2) / weights;
        (row.place.clone(), tenths)
    };
    HourTotal {
        limit: contributing.iter().map(|row| u64::from(row.limit)).sum(),
        shares: contributing.iter().map(share).collect(),
    }
}
