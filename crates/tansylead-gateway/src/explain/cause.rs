//! Derives the likely cause of a request's end from its log lines.

use super::joined;
use super::log_line::{RequestEvent, RequestLine};
use std::collections::BTreeMap;
use std::fmt;

/// What went wrong at one service of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceProblem {
    /// Service.
    pub service: String,
    /// Leafs whose answer was overdue.
    pub overdue: Vec<String>,
    /// Ends of attempts without a good answer, with their leafs.
    pub failures: Vec<String>,
    /// Leafs of a version under trial for which attempts were started, with version and stage.
    pub under_trial: Vec<String>,
    /// Why no further attempt was started.
    pub denied: Vec<String>,
    /// Whether it gave a good answer in the end.
    pub answered: bool,
}

impl ServiceProblem {
    fn is_problem(&self) -> bool {
        !self.answered || !self.overdue.is_empty() || !self.failures.is_empty()
    }
}

impl fmt::Display for ServiceProblem {
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
    /// The daemon had no configuration yet.
    NoConfiguration,
    /// Leafs lacked capacity, and the daemon admitted only some of the queries.
    Overloaded,
    /// Leafs end whenever they run the request, so it was sent to none.
    EndsLeafs,
    /// The request itself was invalid and was refused.
    BadRequest {
        /// The outcome.
        outcome: String,
    },
    /// The caller disconnected.
    CallerLeft {
        /// Problems until then.
        problems: Vec<ServiceProblem>,
    },
    /// Services did not answer, or answered late.
    Services {
        /// The outcome.
        outcome: String,
        /// Problems by service, worst first.
        problems: Vec<ServiceProblem>,
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
        let problems = find_problems(lines);
        match outcome.as_str() {
            "served" => Self::Served,
            "no_configuration" => Self::NoConfiguration,
            "overloaded" => Self::Overloaded,
            "ends_leafs" => Self::EndsLeafs,
            "no_route" | "no_request_id" | "body_too_large" | "headers_too_large" | "bad_body"
            | "body_too_late" => Self::BadRequest { outcome },
            "caller_left" => Self::CallerLeft { problems },
            _ if problems.is_empty() => Self::Unknown { outcome },
            _ => Self::Services { outcome, problems },
        }
    }
}

fn find_problems(lines: &[RequestLine]) -> Vec<ServiceProblem> {
    let mut services: BTreeMap<String, ServiceProblem> = BTreeMap::new();
    for line in lines.iter().filter(|line| !line.is_last()) {
        let service = line.service();
        let problem = services
            .entry(service.clone())
            .or_insert_with(|| ServiceProblem {
                service,
                overdue: Vec::new(),
                failures: Vec::new(),
                under_trial: Vec::new(),
                denied: Vec::new(),
                answered: false,
            });
        record(problem, line);
    }
    let mut problems: Vec<ServiceProblem> = services
        .into_values()
        .filter(ServiceProblem::is_problem)
        .collect();
    problems.sort_by_key(|problem| problem.answered);
    problems
}

fn record(problem: &mut ServiceProblem, line: &RequestLine) {
    let leaf = line.line.text("leaf");
    match line.event {
        RequestEvent::Overdue => problem.overdue.push(leaf),
        RequestEvent::Denied => problem.denied.push(line.line.text("reason")),
        RequestEvent::Ended if is_good_answer(line) => problem.answered = true,
        RequestEvent::Ended => {
            let end = line.line.text("end");
            let cause = line.line.text("cause");
            problem.failures.push(format!("{leaf} {end} ({cause})"));
        }
        RequestEvent::Started => problem.under_trial.extend(under_trial(line, &leaf)),
        RequestEvent::Last | RequestEvent::Other => {}
    }
}

/// Leaf, version and stage of an attempt at a version under trial.
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
            Self::CallerLeft { problems } => {
                formatter.write_str("the caller went away")?;
                write_problems(formatter, problems)
            }
            Self::Services { outcome, problems } => {
                write!(formatter, "{outcome}")?;
                write_problems(formatter, problems)
            }
            Self::Unknown { outcome } => write!(
                formatter,
                "{outcome}; its decisions were not written, look at requests of the same second"
            ),
        }
    }
}

fn write_problems(formatter: &mut fmt::Formatter<'_>, problems: &[ServiceProblem]) -> fmt::Result {
    for problem in problems {
        write!(formatter, "\n    {problem}")?;
    }
    Ok(())
}
