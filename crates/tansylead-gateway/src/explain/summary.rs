//! Summary of what the requests in logs waited for, by route and outcome and by second.
//!
//! It is based on the last lines of requests. Under load a daemon writes only some of them, so counts are
//! lower bounds, and shares among causes are estimates.

use super::DaemonLog;
use super::log_line::{LogLine, RequestLine};
use std::collections::BTreeMap;
use std::fmt;

/// Counts of the requests of one row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SummaryRow {
    /// Number of requests.
    pub requests: u64,
    /// Number of parts missing from their answers.
    pub missing_parts: u64,
    /// Number of parts by what they waited for.
    pub waits: BTreeMap<String, u64>,
}

/// Requests of several logs that ended badly.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// By route and outcome.
    pub by_route: BTreeMap<(String, String), SummaryRow>,
    /// By wall-clock second and outcome.
    pub by_second: BTreeMap<(u64, String), SummaryRow>,
    /// Number of lines that are not log lines.
    pub broken_lines: usize,
}

/// Outcome of requests that ended well.
const SERVED: &str = "served";

/// Sums up the requests that ended badly.
pub fn summarize(logs: &[DaemonLog]) -> Summary {
    let mut summary = Summary::default();
    let lines = logs.iter().flat_map(|log| log.text.lines());
    for text in lines.filter(|line| !line.trim().is_empty()) {
        match LogLine::parse(text) {
            Some(line) => summary.add(&line),
            None => summary.broken_lines += 1,
        }
    }
    summary
}

impl Summary {
    fn add(&mut self, line: &LogLine) {
        let outcome = line.text("outcome");
        let is_request = line.request.is_some() && RequestLine::from_line(line).is_last();
        if !is_request || outcome == SERVED {
            return;
        }
        let route = (line.text("route"), outcome.clone());
        self.by_route.entry(route).or_default().add(line);
        let second = (line.number("unix_seconds"), outcome);
        self.by_second.entry(second).or_default().add(line);
    }
}

impl SummaryRow {
    fn add(&mut self, line: &LogLine) {
        self.requests += 1;
        self.missing_parts += line.number("missing");
        let waits = line.text("waits");
        for wait in waits.split_whitespace() {
            let Some((name, count)) = wait.split_once(':') else {
                continue;
            };
            *self.waits.entry(name.to_owned()).or_default() += count.parse().unwrap_or(0);
        }
    }
}

impl fmt::Display for SummaryRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:>7} {:>7} ", self.requests, self.missing_parts)?;
        let mut waits: Vec<(&String, &u64)> = self.waits.iter().collect();
        waits.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (name, count) in waits {
            write!(formatter, " {name}:{count}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = "requests missing  parts by what they waited for";
        writeln!(formatter, "{:<24} {:<14} {columns}", "route", "outcome")?;
        for ((route, outcome), row) in &self.by_route {
            writeln!(formatter, "{route:<24} {outcome:<14} {row}")?;
        }
        writeln!(formatter, "{:<24} {:<14} {columns}", "second", "outcome")?;
        for ((second, outcome), row) in &self.by_second {
            writeln!(formatter, "{second:<24} {outcome:<14} {row}")?;
        }
        if self.broken_lines > 0 {
            let lines = self.broken_lines;
            writeln!(formatter, "{lines} lines were no log lines")?;
        }
        Ok(())
    }
}
