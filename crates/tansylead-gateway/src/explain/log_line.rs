//! Parses lines of a daemon's log.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::fmt;

const MICROS_PER_MILLI: u64 = 1_000;

/// One line of a daemon's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LogLine {
    /// Time by the daemon's monotonic clock, in microseconds.
    #[serde(rename = "at_us")]
    pub at_micros: u64,
    /// What happened.
    pub event: String,
    /// Id of the request that the line is about, if any.
    #[serde(default)]
    pub request: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; none if it is not a log line.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// A field as text; empty if it is absent.
    pub fn text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// A field as a number; 0 if it is absent.
    pub fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.event)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "level") {
            match value {
                Value::String(text) => write!(formatter, " {name}={text}")?,
                value => write!(formatter, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Kind of a line about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestEvent {
    /// An attempt was started.
    Started,
    /// An attempt ended.
    Ended,
    /// An answer is overdue.
    Overdue,
    /// Another attempt was not started.
    Denied,
    /// The request ended.
    Last,
    /// An event that this version does not know.
    Other,
}

/// A line about one request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLine {
    /// Time by the daemon's monotonic clock, in microseconds.
    pub at_micros: u64,
    /// What happened.
    pub event: RequestEvent,
    /// The line.
    pub line: LogLine,
}

impl RequestLine {
    /// Classifies a line about a request.
    pub fn from_line(line: &LogLine) -> Self {
        let event = match line.event.as_str() {
            "attempt started" => RequestEvent::Started,
            "attempt ended" => RequestEvent::Ended,
            "attempt overdue" => RequestEvent::Overdue,
            "attempt denied" => RequestEvent::Denied,
            "request" => RequestEvent::Last,
            _ => RequestEvent::Other,
        };
        Self {
            at_micros: line.at_micros,
            event,
            line: line.clone(),
        }
    }

    /// Whether this is the request's last line.
    pub fn is_last(&self) -> bool {
        self.event == RequestEvent::Last
    }

    /// Time that the request took, in microseconds.
    pub fn took_micros(&self) -> u64 {
        self.line.number("took_ms") * MICROS_PER_MILLI
    }

    /// Service that the line is about.
    pub fn service(&self) -> String {
        self.line.text("service")
    }
}

impl fmt::Display for RequestLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_last() {
            let after = self.line.number("after_ms");
            write!(formatter, "{after:>6} ms  ")?;
        }
        write!(formatter, "{}", self.line)
    }
}
