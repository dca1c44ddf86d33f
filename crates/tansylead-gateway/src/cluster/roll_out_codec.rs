//! Datagrams between daemons and the judges of roll-outs.

use super::datagram_codec::{DatagramCodec, DatagramMessage, MAXIMUM_MESSAGE_BYTES};
use crate::roll_out::RollOutMessage;
use tansylead_route::{RollOutReport, RouteEvidence, VersionCounts};

/// Maximum encoded size of the kind of a message and of the number of its routes.
const ENVELOPE_BYTES: usize = 4;

impl DatagramMessage for RollOutMessage {
    const VERSION: u8 = 0x82;
}

/// Encodes and decodes messages about roll-outs.
pub type RollOutCodec = DatagramCodec<RollOutMessage>;

/// Leaves routes out of a report that fits into no datagram, those with the fewest answers first. Returns how
/// many were left out.
pub fn fit_report(report: &mut RollOutReport) -> usize {
    let routes = std::mem::take(&mut report.evidence.routes);
    let mut budget = MAXIMUM_MESSAGE_BYTES.saturating_sub(ENVELOPE_BYTES + encoded_bytes(report));
    let before = routes.len();
    let mut by_answers: Vec<(usize, RouteEvidence)> = routes.into_iter().enumerate().collect();
    by_answers.sort_by_key(|(_, route)| std::cmp::Reverse(answers(route)));
    by_answers.retain(|(_, route)| {
        let bytes = encoded_bytes(route);
        let fits = bytes <= budget;
        // Once one does not fit, those with fewer answers are left out too: the selection must not change from
        // report to report because of a byte.
        budget = if fits { budget - bytes } else { 0 };
        fits
    });
    by_answers.sort_by_key(|(position, _)| *position);
    report.evidence.routes = by_answers.into_iter().map(|(_, route)| route).collect();
    before - report.evidence.routes.len()
}

fn answers(route: &RouteEvidence) -> u64 {
    let of_side = |side: &VersionCounts| u64::from(side.good) + u64::from(side.failed);
    of_side(&route.old) + of_side(&route.new)
}

/// Encoded size in bytes; larger than any datagram if the value cannot be encoded.
fn encoded_bytes(value: &impl serde::Serialize) -> usize {
    postcard::to_allocvec(value).map_or(usize::MAX / 2, |bytes| bytes.len())
}
