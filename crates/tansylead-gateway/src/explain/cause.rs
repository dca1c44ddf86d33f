//! The likely cause of a request's end, from its lines.

use super::joined;
use super::log_line::{RequestEvent, RequestLine};
use std::collections::BTreeMap;
use std::fmt;

/// What happened at one service of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTrouble {
    /// Service.
    pub service: String,
    /// Leafs whose answer was overdue.
    pub overdue: Vec<String>,
    /// Ends of attempts that were no answer, with their leafs.
    pub failures: Vec<String>,
    /// Leafs of a version under trial that it was meant for, with version and stage.
    pub under_trial: Vec<String>,
    /// Why no further attempt was started.
    pub denied: Vec<String>,
    /// Whether an answer came in the end.
    pub answered: bool,
}

impl ServiceTrouble {
    fn is_trouble(&self) -> bool {
        !self.answered || !self.overdue.is_empty() || !self.failures.is_empty()
    }
}

impl fmt::Display for ServiceTrouble {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.answered {
            "answered in the end"
        } else {
            "gave no answer"
        };
        write!(formatter, "{} {end}", self.service)?;
        if !self.overdue.is_empty() {
            write!(formatter, "; overdue: {}", joined(&self.overdue))?;
        }
        if !self.failures.is_empty() {
            write!(formatter, "; failed: {}", joined(&self.failures))?;
        }
        if !self.under_trial.is_empty() {
            let leafs = joined(&self.under_trial);
            write!(formatter, "; under trial: {leafs}")?;
        }
        if !self.denied.is_empty() {
            let reasons = joined(&self.denied);
            write!(formatter, "; no further attempt for: {reasons}")?;
        }
        Ok(())
    }
}

/// The likely cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The request was served in time.
    Served,
    /// The daemon knew no configuration yet.
    NoConfiguration,
    /// Leafs were short of capacity, and the daemon admitted only a part of the queries.
    Overloaded,
    /// Leafs end whenever they run the request; none was sent it.
    EndsLeafs,
    /// The request itself was refused, for what it was.
    BadRequest {
        /// The outcome.
        outcome: String,
    },
    /// The caller went away.
    CallerLeft {
        /// What was under way.
        troubles: Vec<ServiceTrouble>,
    },
    /// Services did not answer, or late.
    Services {
        /// The outcome.
        outcome: String,
        /// What happened, worst first.
        troubles: Vec<ServiceTrouble>,
    },
    /// Only the last line was written: too many requests ended badly at the time.
    Unknown {
        /// The outcome.
        outcome: String,
    },
}

impl Cause {
    /// The cause, from the request's last line and all of its lines.
    pub(super) fn of(last: &RequestLine, lines: &[RequestLine]) -> Self {
        let outcome = last.line.text("outcome");
        let troubles = troubles(lines);
        match outcome.as_str() {
            "served" => Self::Served,
            "no_configuration" => Self::NoConfiguration,
            "overloaded" => Self::Overloaded,
            "ends_leafs" => Self::EndsLeafs,
            "no_route" | "no_request_id" | "body_too_large" | "headers_too_large" | "bad_body"
            | "body_too_late" => Self::BadRequest { outcome },
            "caller_left" => Self::CallerLeft { troubles },
            _ if troubles.is_empty() => Self::Unknown { outcome },
            _ => Self::Services { outcome, troubles },
        }
    }
}

fn troubles(lines: &[RequestLine]) -> Vec<ServiceTrouble> {
    let mut services: BTreeMap<String, ServiceTrouble> = BTreeMap::new();
    for line in lines.iter().filter(|line| !line.is_last()) {
        let service = line.service();
        let trouble = services
            .entry(service.clone())
            .or_insert_with(|| ServiceTrouble {
                service,
                overdue: Vec::new(),
                failures: Vec::new(),
                under_trial: Vec::new(),
                denied: Vec::new(),
                answered: false,
            });
        note(trouble, line);
    }
    let mut troubles: Vec<ServiceTrouble> = services
        .into_values()
        .filter(ServiceTrouble::is_trouble)
        .collect();
    troubles.sort_by_key(|trouble| trouble.answered);
    troubles
}

fn note(trouble: &mut ServiceTrouble, line: &RequestLine) {
    let leaf = line.line.text("leaf");
    match line.event {
        RequestEvent::Overdue => trouble.overdue.push(leaf),
        RequestEvent::Denied => trouble.denied.push(line.line.text("reason")),
        RequestEvent::Ended if is_good_answer(line) => trouble.answered = true,
        RequestEvent::Ended => {
            let end = line.line.text("end");
            let cause = line.line.text("cause");
            trouble.failures.push(format!("{leaf} {end} ({cause})"));
        }
        RequestEvent::Started => trouble.under_trial.extend(under_trial(line, &leaf)),
        RequestEvent::Last | RequestEvent::Other => {}
    }
}

/// Version and stage of an attempt that was meant for a version under trial.
fn under_trial(line: &RequestLine, leaf: &str) -> Option<String> {
    let stage = line.line.text("trial");
    let version = line.line.text("version");
    (!stage.is_empty()).then(|| format!("{leaf} of {version} ({stage})"))
}

fn is_good_answer(line: &RequestLine) -> bool {
    line.line.text("end") == "answered" && !line.line.text("cause").starts_with('5')
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Served => formatter.write_str("none: it was served in time"),
            Self::NoConfiguration => {
                formatter.write_str("the daemon had just started and knew no configuration")
            }
            Self::Overloaded => formatter.write_str(
                "leafs refused parts of other queries as full, and only a part of the queries was \
                 admitted; see `admission of queries` and what late queries of the second waited for",
            ),
            Self::EndsLeafs => formatter.write_str(
                "leafs end whenever they run this request; see `request under which leafs end` and `leaf \
                 ended under requests` with its fingerprint",
            ),
            Self::BadRequest { outcome } => {
                write!(formatter, "the request itself: {outcome}")
            }
            Self::CallerLeft { troubles } => {
                formatter.write_str("the caller went away")?;
                write_troubles(formatter, troubles)
            }
            Self::Services { outcome, troubles } => {
                write!(formatter, "{outcome}")?;
                write_troubles(formatter, troubles)
            }
            Self::Unknown { outcome } => write!(
                formatter,
                "{outcome}; its decisions were not written, look at requests of the same second"
            ),
        }
    }
}

fn write_troubles(formatter: &mut fmt::Formatter<'_>, troubles: &[ServiceTrouble]) -> fmt::Result {
    for trouble in troubles {
        write!(formatter, "\n    {trouble}")?;
    }
    Ok(())
}
