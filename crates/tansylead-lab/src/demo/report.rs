//! The demo's report: a table to read, and the same as JSON.

use crate::caller::{ExecutionCounts, Figures, QueryRecord, Violation};
use crate::deployment::DeploymentDescription;
use serde::Serialize;
use tabled::settings::{Alignment, Style, object::Columns};
use tabled::{Table, Tabled};
use tansylead_types::LeafId;

/// Violations shown in words.
const VIOLATIONS_SHOWN: usize = 20;

/// What was killed, and when.
#[derive(Debug, Clone, Serialize)]
pub struct Faults {
    /// Milliseconds after the start of the traffic.
    pub after_millis: u64,
    /// Daemon.
    pub daemon: String,
    /// Its process id.
    pub daemon_process_id: u32,
    /// Leaf.
    pub leaf: LeafId,
    /// Its process id.
    pub leaf_process_id: u32,
}

/// Non-repeatable requests by the leafs' execution logs.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct PostFigures {
    /// Posts.
    pub posts: usize,
    /// Posts whose key was sent again through another daemon.
    pub repeated_keys: usize,
    /// Most executions of one key on one shard.
    pub most_executions_of_a_key: usize,
}

impl PostFigures {
    /// Counts posts among records.
    pub fn of(records: &[QueryRecord], executions: &ExecutionCounts) -> Self {
        let posts = records.iter().filter(|record| record.request.key.is_some());
        Self {
            posts: posts.clone().count(),
            repeated_keys: posts.filter(|record| record.repeated.is_some()).count(),
            most_executions_of_a_key: executions.most_executions_of_a_key(),
        }
    }
}

/// Figures of the callers of one group before and after the kills.
#[derive(Debug, Clone, Serialize)]
pub struct GroupFigures {
    /// Callers.
    pub callers: String,
    /// Queries that were over before the kills.
    pub before: Figures,
    /// All other queries.
    pub after: Figures,
}

impl GroupFigures {
    /// Shards missing from answers, in words.
    fn missing_text(&self) -> String {
        let in_words = |figures: &Figures| {
            let reasons = figures.missing.iter();
            let words: Vec<String> = reasons
                .map(|(why, count)| format!("{why:?} {count}"))
                .collect();
            if words.is_empty() {
                "none".to_owned()
            } else {
                words.join(", ")
            }
        };
        let (before, after) = (in_words(&self.before), in_words(&self.after));
        format!(
            "{}: missing shards before: {before}; after: {after}",
            self.callers
        )
    }
}

/// The whole report.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// Deployment.
    pub deployment: String,
    /// Daemons started.
    pub daemons: usize,
    /// Leafs started.
    pub leafs: usize,
    /// What was killed.
    pub faults: Faults,
    /// Figures by callers.
    pub groups: Vec<GroupFigures>,
    /// Non-repeatable requests.
    pub posts: PostFigures,
    /// Promises that were broken.
    pub violation_count: usize,
    /// The first of them, in words.
    pub violations: Vec<String>,
}

#[derive(Tabled)]
struct Row {
    callers: String,
    kills: &'static str,
    queries: u64,
    #[tabled(rename = "p50 ms")]
    p50: String,
    #[tabled(rename = "p99 ms")]
    p99: String,
    #[tabled(rename = "p99.9 ms")]
    p999: String,
    #[tabled(rename = "coverage %")]
    coverage: String,
    #[tabled(rename = "attempts a query")]
    attempts: String,
    #[tabled(rename = "extra %")]
    extra: String,
    complete: u64,
    partial: u64,
    #[tabled(rename = "not run")]
    not_run: u64,
    unknown: u64,
    lost: u64,
    retried: u64,
}

impl Row {
    fn new(callers: &str, kills: &'static str, figures: &Figures) -> Self {
        Self {
            callers: callers.to_owned(),
            kills,
            queries: figures.queries,
            p50: format!("{:.1}", figures.p50_millis),
            p99: format!("{:.1}", figures.p99_millis),
            p999: format!("{:.1}", figures.p999_millis),
            coverage: format!("{:.3}", figures.coverage_percent),
            attempts: format!("{:.2}", figures.attempts_per_query),
            extra: format!("{:.2}", figures.extra_attempts_percent),
            complete: figures.complete,
            partial: figures.partial,
            not_run: figures.not_run,
            unknown: figures.unknown,
            lost: figures.lost,
            retried: figures.retried,
        }
    }
}

impl DemoReport {
    /// Puts the parts together.
    pub fn new(
        description: &DeploymentDescription,
        faults: Faults,
        rows: Vec<(String, Figures, Figures)>,
        posts: PostFigures,
        violations: &[Violation],
    ) -> Self {
        let in_words = violations.iter().map(ToString::to_string);
        let groups = rows
            .into_iter()
            .map(|(callers, before, after)| GroupFigures {
                callers,
                before,
                after,
            })
            .collect();
        Self {
            deployment: description.cluster.clone(),
            daemons: description.daemon_count(),
            leafs: description.leaf_count(),
            faults,
            groups,
            posts,
            violation_count: violations.len(),
            violations: in_words.take(VIOLATIONS_SHOWN).collect(),
        }
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let rows = self.groups.iter().flat_map(|group| {
            [
                Row::new(&group.callers, "before", &group.before),
                Row::new(&group.callers, "after", &group.after),
            ]
        });
        let mut table = Table::new(rows);
        table
            .with(Style::psql())
            .modify(Columns::new(2..), Alignment::right());
        let faults = &self.faults;
        let mut lines = vec![
            format!(
                "{}: {} daemons, {} leafs; killed after {:.1} s: {} (process {}) and leaf {} (process {})",
                self.deployment,
                self.daemons,
                self.leafs,
                faults.after_millis as f64 / 1_000.0,
                faults.daemon,
                faults.daemon_process_id,
                faults.leaf,
                faults.leaf_process_id,
            ),
            table.to_string(),
        ];
        lines.extend(self.groups.iter().map(GroupFigures::missing_text));
        lines.push(format!(
            "posts: {}, keys sent again through another daemon: {}, most executions of one key: {}",
            self.posts.posts, self.posts.repeated_keys, self.posts.most_executions_of_a_key
        ));
        if self.violation_count == 0 {
            lines.push("every answer was checked; none was wrong".to_owned());
        }
        let broken = self.violations.iter();
        lines.extend(broken.map(|violation| format!("WRONG: {violation}")));
        lines.join("\n")
    }
}
