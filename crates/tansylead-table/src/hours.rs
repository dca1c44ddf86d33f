//! Hours of the day: the canonical form of a range, and grouping of hours into ranges.

use tansylead_types::HourRange;
use tansylead_types::table::HOURS_PER_DAY;

/// The canonical form of a range, as used in the CSV form: the whole day is `0-24`, and a range up
/// to midnight ends at 24.
pub(crate) fn canonical_range(range: HourRange) -> HourRange {
    if range.start == range.end {
        return HourRange {
            start: 0,
            end: HOURS_PER_DAY,
        };
    }
    let end = if range.end == 0 {
        HOURS_PER_DAY
    } else {
        range.end
    };
    HourRange { end, ..range }
}

/// Formats consecutive hours as ranges: `[0, 1, 2, 7]` is `0-3, 7-8`.
pub(crate) fn format_ranges(hours: &[u8]) -> String {
    let mut ranges: Vec<HourRange> = Vec::new();
    for &hour in hours {
        match ranges.last_mut() {
            Some(range) if range.end == hour => range.end = hour + 1,
            _ => ranges.push(HourRange {
                start: hour,
                end: hour + 1,
            }),
        }
    }
    let texts: Vec<String> = ranges.iter().map(HourRange::to_string).collect();
    texts.join(", ")
}
