//! Checks that each answer matches the runs whose signatures it carries.

use crate::configuration::{RoutePlan, RouteTarget};
use crate::oracle::{Run, SeenAnswer};
use std::collections::{BTreeSet, HashMap};

/// Bytes of a record.
const RECORD_BYTES: usize = 16;

/// Returns the violation of an answer, if any. `runs` are all runs by signature.
pub(crate) fn check_answer(
    runs: &HashMap<String, Run>,
    request: &str,
    route: &RoutePlan,
    answer: &SeenAnswer,
) -> Option<String> {
    let success = (200..300).contains(&answer.status);
    match (&route.target, success) {
        (RouteTarget::Services(_), _) => check_single(runs, request, answer, success),
        (RouteTarget::Shards { .. }, true) => check_merged(runs, request, route, answer),
        (RouteTarget::Shards { .. }, false) => None,
    }
}

fn check_single(
    runs: &HashMap<String, Run>,
    request: &str,
    answer: &SeenAnswer,
    success: bool,
) -> Option<String> {
    let Some(signature) = &answer.signature else {
        return success.then(|| format!("MIXED: {request}: success without signature"));
    };
    let Some(run) = runs.get(signature) else {
        return Some(format!("MIXED: {request}: unknown signature {signature}"));
    };
    let matches_run = run.request == request
        && run.status == answer.status
        && (!success || run.body == answer.body);
    (!matches_run).then(|| {
        format!(
            "MIXED: {request}: not the answer of its run at {}",
            run.leaf
        )
    })
}

fn check_merged(
    runs: &HashMap<String, Run>,
    request: &str,
    route: &RoutePlan,
    answer: &SeenAnswer,
) -> Option<String> {
    let RouteTarget::Shards {
        shards,
        top,
        minimum_coverage,
    } = &route.target
    else {
        return None;
    };
    let Some(parts) = &answer.parts else {
        return Some(format!("MIXED: {request}: merged answer without parts"));
    };
    let mut services = BTreeSet::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for signature in parts {
        let Some(run) = runs.get(signature) else {
            return Some(format!("MIXED: {request}: unknown part {signature}"));
        };
        let is_valid = run.request == request
            && run.status == 200
            && shards.contains(&run.service)
            && services.insert(run.service.as_str());
        if !is_valid {
            return Some(format!(
                "MIXED: {request}: part {signature} does not belong"
            ));
        }
        records.extend(run.body.chunks_exact(RECORD_BYTES));
    }
    records.sort_unstable();
    records.reverse();
    records.truncate(*top);
    let is_covered = parts.len() as f64 >= minimum_coverage * shards.len() as f64 - 1e-9;
    if parts.len() + answer.missing != shards.len() || !is_covered || parts.is_empty() {
        return Some(format!(
            "MIXED: {request}: coverage is not true or too small"
        ));
    }
    (records.concat() != answer.body)
        .then(|| format!("MIXED: {request}: not the greatest records of its parts"))
}
