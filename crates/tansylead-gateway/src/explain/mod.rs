//! Finds the cause of a request's end from its id and the logs alone.
//!
//! Reads the lines of `request_log` and of the daemon's other decisions from the logs of several daemons,
//! collects those of one request and names the likely cause; or sums up what all requests that ended badly
//! waited for. Lines that are not log lines are counted and skipped.

mod cause;
mod log_line;
mod summary;

pub use cause::{Cause, ServiceProblem};
pub use log_line::{LogLine, RequestLine};
pub use summary::{Summary, SummaryRow, summarize};

use std::fmt::{self, Write as _};

/// Maximum number of other lines of the daemon that are shown with a request.
const MAXIMUM_CONTEXT_LINES: usize = 20;
/// Time before the request's arrival from which other lines are shown, in microseconds.
const CONTEXT_BEFORE_MICROS: u64 = 1_000_000;

/// One daemon's log.
#[derive(Debug, Clone)]
pub struct DaemonLog {
    /// Name of the log file, shown as the name of the daemon.
    pub name: String,
    /// Text of the log.
    pub text: String,
}

/// What one daemon's log says about a request.
#[derive(Debug, Clone)]
pub struct RequestHistory {
    /// The daemon.
    pub daemon: String,
    /// The request's last line, and the decisions before it.
    pub lines: Vec<RequestLine>,
    /// Lines that the daemon logged around that time about itself, leafs and members.
    pub context: Vec<LogLine>,
    /// The likely cause.
    pub cause: Cause,
}

/// What the logs say about a request.
#[derive(Debug, Clone)]
pub struct Explanation {
    /// The request's id.
    pub request: String,
    /// The history at each daemon that logged the request.
    pub histories: Vec<RequestHistory>,
    /// Number of lines that are not log lines.
    pub broken_lines: usize,
}

/// Collects what the logs say about a request.
pub fn explain(request: &str, logs: &[DaemonLog]) -> Explanation {
    let mut broken_lines = 0;
    let mut histories = Vec::new();
    for log in logs {
        let mut lines = Vec::new();
        for text in log.text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(text) {
                Some(line) => lines.push(line),
                None => broken_lines += 1,
            }
        }
        histories.extend(history(request, &log.name, &lines));
    }
    Explanation {
        request: request.to_owned(),
        histories,
        broken_lines,
    }
}

fn history(request: &str, daemon: &str, lines: &[LogLine]) -> Option<RequestHistory> {
    let own: Vec<RequestLine> = lines
        .iter()
        .filter(|line| line.request.as_deref() == Some(request))
        .map(RequestLine::from_line)
        .collect();
    let last = own.iter().rev().find(|line| line.is_last())?;
    let started = last.at_micros.saturating_sub(last.took_micros());
    let from = started.saturating_sub(CONTEXT_BEFORE_MICROS);
    let context: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.request.is_none())
        .filter(|line| (from..=last.at_micros).contains(&line.at_micros))
        .take(MAXIMUM_CONTEXT_LINES)
        .cloned()
        .collect();
    Some(RequestHistory {
        daemon: daemon.to_owned(),
        cause: Cause::of(last, &own),
        lines: own,
        context,
    })
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.histories.is_empty() {
            writeln!(
                formatter,
                "request {}: no line in these logs. It was served, its lines were suppressed for \
                 their number, or another daemon had it.",
                self.request
            )?;
        }
        for history in &self.histories {
            writeln!(formatter, "request {} at {}", self.request, history.daemon)?;
            for line in &history.lines {
                writeln!(formatter, "  {line}")?;
            }
            if !history.context.is_empty() {
                writeln!(formatter, "  what the daemon noted meanwhile:")?;
            }
            for line in &history.context {
                writeln!(formatter, "    {line}")?;
            }
            writeln!(formatter, "  likely cause: {}", history.cause)?;
        }
        if self.broken_lines > 0 {
            let lines = self.broken_lines;
            writeln!(formatter, "{lines} lines were no log lines")?;
        }
        Ok(())
    }
}

/// Joins names for a sentence.
fn joined(names: &[String]) -> String {
    let mut text = String::new();
    for (index, name) in names.iter().enumerate() {
        let separator = if index == 0 { "" } else { ", " };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{name}");
    }
    text
}
