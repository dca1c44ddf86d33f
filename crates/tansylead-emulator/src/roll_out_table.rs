//! Formats reports of roll-outs as text.

use crate::roll_out_runs::RunsReport;
use crate::seen_roll_out::{RollOutEnd, SeenRollOut};
use std::collections::BTreeMap;
use std::time::Duration;

/// Formats a roll-out as one line.
pub fn line(seen: &SeenRollOut) -> String {
    let order = &seen.order;
    let end = match seen.end {
        Some((end, after)) => format!("{end:?} after {:.1} s", after.as_secs_f64()),
        None if seen.is_superseded => "replaced or withdrawn".to_owned(),
        None => "no end".to_owned(),
    };
    let last_send_after_proof = seen.last_send_after_proof.map_or_else(
        || "-".to_owned(),
        |time| format!("{:.1} s", time.as_secs_f64()),
    );
    format!(
        "{} to {} in {:.1} s ({}): {end}, {} sends of {:.0} allowed, last send after proof {last_send_after_proof}, {} interrupted{}",
        order.service,
        order.target,
        order.duration.as_secs_f64(),
        order.kind,
        seen.sends,
        seen.allowed(),
        seen.interrupted,
        if seen.is_disturbed { ", disturbed" } else { "" },
    )
}

/// Roll-outs of one kind, with or without faults.
#[derive(Debug, Default)]
struct Row {
    count: usize,
    in_time: usize,
    late: usize,
    wrong: usize,
    no_end: usize,
    interrupted: usize,
    maximum_use: f64,
    last_sends_after_proof: Vec<Duration>,
    end_times: Vec<Duration>,
}

impl Row {
    fn add(&mut self, seen: &SeenRollOut) {
        self.count += 1;
        self.in_time += usize::from(seen.is_as_required());
        self.wrong += usize::from(seen.is_wrong());
        self.no_end += usize::from(seen.end.is_none());
        let is_late = seen.end.is_some() && !seen.is_wrong() && !seen.is_as_required();
        self.late += usize::from(is_late);
        self.interrupted += seen.interrupted;
        // Sends between a completion and the deadline are no exposure but are counted in `sends`.
        if seen.end.is_none_or(|(end, _)| end != RollOutEnd::Completed) {
            let used = f64::from(seen.sends) / seen.allowed();
            self.maximum_use = self.maximum_use.max(used);
        }
        self.last_sends_after_proof
            .extend(seen.last_send_after_proof);
        self.end_times.extend(seen.end.map(|(_, after)| after));
    }

    fn text(&self) -> String {
        let seconds = |times: &[Duration]| {
            let longest = times.iter().max();
            longest.map_or_else(
                || "-".to_owned(),
                |longest| format!("{:.1}", longest.as_secs_f64()),
            )
        };
        format!(
            "{:>5} {:>7} {:>5} {:>6} {:>6} {:>4} {:>9.2} {:>8} {:>8}",
            self.count,
            self.in_time,
            self.late,
            self.wrong,
            self.no_end,
            self.interrupted,
            self.maximum_use,
            seconds(&self.last_sends_after_proof),
            seconds(&self.end_times),
        )
    }
}

/// Table of all roll-outs by kind: how many ended as required in time, late, wrongly or not at all; interrupted
/// requests; the largest use of the bound on sends; the longest times from proof to the last send and from order to
/// end, in seconds.
pub fn table(reports: &[RunsReport]) -> String {
    let mut rows: BTreeMap<(bool, String), Row> = BTreeMap::new();
    for seen in reports.iter().flat_map(|report| &report.roll_outs) {
        let kind = seen.order.kind.split('(').next().unwrap_or_default();
        let row = rows.entry((seen.is_disturbed, kind.to_owned()));
        row.or_default().add(seen);
    }
    let mut text = format!(
        "{:<26} {:>5} {:>7} {:>5} {:>6} {:>6} {:>4} {:>9} {:>8} {:>8}\n",
        "kind",
        "count",
        "in time",
        "late",
        "wrong",
        "no end",
        "cut",
        "worst use",
        "back s",
        "end s"
    );
    for ((is_disturbed, kind), row) in rows {
        let name = if is_disturbed {
            format!("{kind}, faults")
        } else {
            kind
        };
        text.push_str(&format!("{name:<26} {}\n", row.text()));
    }
    let broken = reports
        .iter()
        .filter(|report| !report.violations.is_empty());
    let seeds: Vec<String> = broken.map(|report| report.seed.to_string()).collect();
    let seeds = if seeds.is_empty() {
        "none".to_owned()
    } else {
        seeds.join(", ")
    };
    text.push_str(&format!("deployments with violations, by seed: {seeds}\n"));
    text
}
