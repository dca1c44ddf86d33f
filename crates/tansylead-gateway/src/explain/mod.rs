//! From a request's id to its cause, by the logs alone.
//!
//! Reads the lines of `request_log` and of the daemon's other decisions from several daemons'
//! logs, puts those of one request in order, and names the likely cause; or sums up what all
//! requests that ended badly waited for. Lines that are no log lines are counted and passed over.

mod cause;
mod log_line;
mod summary;

pub use cause::{Cause, ServiceTrouble};
pub use log_line::{LogLine, RequestLine};
pub use summary::{Summary, SummaryRow, summarize};

use std::fmt::{self, Write as _};

/// Lines of the daemon around the request that are shown.
const MAXIMUM_CONTEXT_LINES: usize = 20;
/// Lines before the request's arrival that are taken for its surroundings, in microseconds.
const CONTEXT_BEFORE_MICROS: u64 = 1_000_000;

/// One daemon's log.
#[derive(Debug, Clone)]
pub struct DaemonLog {
    /// Name shown for the daemon: the file's.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// What one daemon's log says of a request.
#[derive(Debug, Clone)]
pub struct Story {
    /// The daemon.
    pub daemon: String,
    /// The request's last line, and the decisions before it.
    pub lines: Vec<RequestLine>,
    /// What the daemon noted around that time about itself, leafs and members.
    pub context: Vec<LogLine>,
    /// The likely cause.
    pub cause: Cause,
}

/// What the logs say of a request.
#[derive(Debug, Clone)]
pub struct Explanation {
    /// The request's id.
    pub request: String,
    /// A story for each daemon that knows the request.
    pub stories: Vec<Story>,
    /// Lines that are no log lines.
    pub broken_lines: usize,
}

/// Collects what the logs say of a request.
pub fn explain(request: &str, logs: &[DaemonLog]) -> Explanation {
    let mut broken_lines = 0;
    let mut stories = Vec::new();
    for log in logs {
        let mut lines = Vec::new();
        for text in log.text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(text) {
                Some(line) => lines.push(line),
                None => broken_lines += 1,
            }
        }
        stories.extend(story(request, &log.name, &lines));
    }
    Explanation {
        request: request.to_owned(),
        stories,
        broken_lines,
    }
}

fn story(request: &str, daemon: &str, lines: &[LogLine]) -> Option<Story> {
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
    Some(Story {
        daemon: daemon.to_owned(),
        cause: Cause::of(last, &own),
        lines: own,
        context,
    })
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.stories.is_empty() {
            writeln!(
                formatter,
                "request {}: no line in these logs. It was served, its lines were suppressed for \
                 their number, or another daemon had it.",
                self.request
            )?;
        }
        for story in &self.stories {
            writeln!(formatter, "request {} at {}", self.request, story.daemon)?;
            for line in &story.lines {
                writeln!(formatter, "  {line}")?;
            }
            if !story.context.is_empty() {
                writeln!(formatter, "  what the daemon noted meanwhile:")?;
            }
            for line in &story.context {
                writeln!(formatter, "    {line}")?;
            }
            writeln!(formatter, "  likely cause: {}", story.cause)?;
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
