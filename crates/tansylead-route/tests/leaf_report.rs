//! Reports about silent leafs spare other daemons a wait, and a wrong one does little harm.

use proptest::prelude::*;
use std::time::Duration;
use tansylead_route::ReportedSilence;
use tansylead_types::Moment;

/// Longest time for which a report that is not repeated may keep requests away.
const LONGEST_EFFECT: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_report_of_silence_holds_until_the_leaf_is_reported_to_answer() {
    let mut silence = ReportedSilence::default();
    silence.on_silent(at(1_000), at(940), at(900));
    assert!(silence.is_silent(at(1_100)));
    silence.on_answering();
    assert!(!silence.is_silent(at(1_100)));
}

#[test]
fn own_answers_count_more_than_words() {
    let mut silence = ReportedSilence::default();
    silence.on_silent(at(1_000), at(940), at(950));
    assert!(!silence.is_silent(at(1_000)), "it has answered since");
    silence.on_silent(at(1_000), at(940), at(900));
    assert!(
        !silence.on_answer(),
        "the daemon that reported the silence reports its end"
    );
    assert!(!silence.is_silent(at(1_001)));
}

#[test]
fn a_silence_is_reported_once_and_its_end_by_the_daemon_that_reported_it() {
    let mut reporter = ReportedSilence::default();
    assert!(reporter.on_found_silent(at(1_000)));
    assert!(reporter.on_answer());
    assert!(!reporter.on_answer());
    let mut receiver = ReportedSilence::default();
    receiver.on_silent(at(1_001), at(940), at(0));
    assert!(!receiver.on_found_silent(at(1_010)));
    assert!(!receiver.on_answer());
}

#[test]
fn the_daemon_that_reported_a_silence_repeats_the_report_while_it_lasts() {
    let mut reporter = ReportedSilence::default();
    assert!(reporter.on_found_silent(at(1_000)));
    assert!(reporter.on_found_silent(at(1_200)));
}

/// An event at one daemon. Reports may arrive in any order, late, more than once, or from a daemon that is
/// wrong.
#[derive(Debug, Clone)]
enum Step {
    Silent { since_before: u64 },
    Answering,
    FoundSilent,
    Answer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..10_000_u64).prop_map(|since_before| Step::Silent { since_before }),
        Just(Step::Answering),
        Just(Step::FoundSilent),
        Just(Step::Answer),
    ]
}

proptest! {
    #[test]
    fn whatever_is_said_the_leaf_is_used_again_soon_after_the_last_word(
        steps in proptest::collection::vec((0..400_u64, step()), 1..60),
    ) {
        let mut silence = ReportedSilence::default();
        let mut now = at(20_000);
        let mut answered = Moment::default();
        let mut last_report = now;
        for (gap, step) in steps {
            now = now + Duration::from_millis(gap);
            match step {
                Step::Silent { since_before } => {
                    let since = now - Duration::from_millis(since_before);
                    silence.on_silent(now, since, answered);
                    last_report = now;
                }
                Step::Answering => silence.on_answering(),
                Step::FoundSilent => {
                    silence.on_found_silent(now);
                    last_report = now;
                }
                Step::Answer => {
                    silence.on_answer();
                    answered = now;
                    prop_assert!(!silence.is_silent(now), "it has just answered");
                }
            }
            prop_assert!(!silence.is_silent(last_report + LONGEST_EFFECT));
        }
    }
}
