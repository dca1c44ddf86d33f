//! Hours of the day as sets, for grouping and for one canonical spelling of each range.

use tansylead_types::HourRange;
use tansylead_types::table::HOURS_PER_DAY;

/// The one spelling of a range that the CSV form uses: the whole day is `0-24`, and a range up to
/// midnight ends at 24.
pub(crate) fn canonical(range: HourRange) -> HourRange {
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

/// Consecutive hours as ranges: `[0, 1, 2, 7]` is `0-3, 7-8`.
pub(crate) fn ranges_text(hours: &[u8]) -> String {
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
