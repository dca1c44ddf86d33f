//! Prints a table of roll-out outcomes for good and bad versions, by request rate, duration and kind of defect.
//!
//! Usage: `cargo run --release -p tansylead-route --example roll_out_table [roll-outs a row]`.

#[path = "../tests/roll_out_world/mod.rs"]
mod roll_out_world;

use roll_out_world::{BOUNDS, Defect, Outcome, Scenario, Service, UnrelatedFault, simulate};
use std::time::Duration;
use tansylead_route::Conclusion;

/// Requests a second, with the median latency in milliseconds.
const RATES: [(f64, f64); 4] = [(21.0, 90.0), (36.0, 4.0), (63.0, 11.0), (99.0, 11.0)];
/// Durations of the roll-outs, in seconds.
const DURATIONS: [u64; 3] = [6, 12, 30];
/// Roll-outs simulated for each cell, unless an argument says otherwise.
const ROLL_OUTS: u64 = 45;
const THREADS: u64 = 4;

fn scenario(rate: (f64, f64), seconds: u64) -> Scenario {
    Scenario {
        daemons: 65,
        duration: Duration::from_secs(seconds),
        service: Service {
            rate: rate.0,
            routes: 2,
            median_millis: rate.1,
            spread: 0.4,
            usual_failures: 0.01,
            starts_after: 1_000,
            defect: Defect::default(),
            unrelated_fault: None,
        },
        loss: 0.01,
        are_stages_pushed: true,
        judge_killed_at: None,
        judge_partition: None,
        source_outage: None,
    }
}

/// Simulates the roll-outs in several threads.
fn simulate_all(scenario: &Scenario, roll_outs: u64) -> Vec<Outcome> {
    let part = |first: u64| (first..roll_outs).step_by(THREADS as usize);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| {
                let seeds = part(first);
                scope.spawn(move || {
                    seeds
                        .map(|seed| simulate(scenario, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = threads
            .into_iter()
            .map(|thread| thread.join().expect("the thread does not panic"));
        joined.flatten().collect()
    })
}

/// Shares of roll-outs completed and completed in time, mean part of the bound used, and mean number of bad answers.
fn cell(scenario: &Scenario, roll_outs: u64) -> String {
    let outcomes = simulate_all(scenario, roll_outs);
    let mean = |count: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(count).sum::<f64>() / roll_outs as f64
    };
    let deadline = scenario.duration.as_millis() as u64;
    let is_complete = |outcome: &Outcome| outcome.is(Conclusion::Complete);
    let is_in_time = |outcome: &Outcome| outcome.ended.is_some_and(|(_, _, at)| at <= deadline);
    let completed = mean(&|outcome| f64::from(is_complete(outcome)));
    let in_time = mean(&|outcome| f64::from(is_complete(outcome) && is_in_time(outcome)));
    let bound = |outcome: &Outcome| BOUNDS.share * outcome.requests as f64 + BOUNDS.slack;
    let used = mean(&|outcome| outcome.sends as f64 / bound(outcome));
    let bad = mean(&|outcome| outcome.bad as f64);
    for outcome in outcomes.iter().filter(|outcome| outcome.beyond_bound > 0.0) {
        println!("beyond the bound: {outcome:?}");
    }
    format!("{completed:.2} ({in_time:.2}) {used:.2} {bad:.1}")
}

fn row(name: &str, rate: (f64, f64), change: &dyn Fn(&mut Scenario, u64)) {
    let asked = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let cells = DURATIONS.map(|seconds| {
        let mut scenario = scenario(rate, seconds);
        change(&mut scenario, seconds);
        cell(&scenario, asked.unwrap_or(ROLL_OUTS))
    });
    println!("| {name} | {} | {} |", rate.0, cells.join(" | "));
}

fn main() {
    let heads = DURATIONS.map(|seconds| format!("{seconds} s"));
    println!("| version | requests a second | {} |", heads.join(" | "));
    println!("|---|---|---|---|---|");
    for rate in RATES {
        good(rate);
        bad(rate);
        slow(rate);
        with_unrelated_fault(rate);
        without_judge_or_source(rate);
    }
}

fn good(rate: (f64, f64)) {
    row("good", rate, &|_, _| {});
    row("good, stages not pushed", rate, &|scenario, _| {
        scenario.are_stages_pushed = false
    });
}

fn bad(rate: (f64, f64)) {
    for failing in [0.05, 0.1, 0.3, 0.6] {
        let name = format!("bad {failing}");
        row(&name, rate, &|scenario, _| {
            scenario.service.defect.failing = failing
        });
    }
    for starts_at in [0.5, 0.8] {
        let name = format!("bad 0.3 from {starts_at}");
        row(&name, rate, &|scenario, _| {
            scenario.service.defect.failing = 0.3;
            scenario.service.defect.starts_at = starts_at;
        });
    }
    row("bad 0.3 under load", rate, &|scenario, _| {
        scenario.service.defect.failing = 0.3;
        scenario.service.defect.only_under_load = true;
    });
    row("bad 0.3 on one of two routes", rate, &|scenario, _| {
        scenario.service.defect.failing = 0.3;
        scenario.service.defect.only_one_route = true;
    });
}

fn slow(rate: (f64, f64)) {
    for slow in [2.0, 4.0, 8.0] {
        let name = format!("slow {slow}");
        row(&name, rate, &|scenario, _| {
            scenario.service.defect.slow = slow
        });
    }
    row("slow 4 from 0.8", rate, &|scenario, _| {
        scenario.service.defect.slow = 4.0;
        scenario.service.defect.starts_at = 0.8;
    });
    row("slow 4 under load", rate, &|scenario, _| {
        scenario.service.defect.slow = 4.0;
        scenario.service.defect.only_under_load = true;
    });
}

/// Faults that the target version does not cause, mostly for a fifth of the time.
fn with_unrelated_fault(rate: (f64, f64)) {
    let fault = |seconds: u64, new_failing: f64, old_failing: f64, slow: f64| UnrelatedFault {
        from: seconds * 400,
        to: seconds * 600,
        old_failing,
        new_failing,
        slow,
    };
    row(
        "good, both fail 0.3 for a fifth",
        rate,
        &|scenario, seconds| {
            scenario.service.unrelated_fault = Some(fault(seconds, 0.3, 0.3, 1.0));
        },
    );
    row(
        "good, both slow 5 for a fifth",
        rate,
        &|scenario, seconds| {
            scenario.service.unrelated_fault = Some(fault(seconds, 0.0, 0.0, 5.0));
        },
    );
    row(
        "good, one of six new leafs fails for a fifth",
        rate,
        &|scenario, seconds| {
            scenario.service.unrelated_fault = Some(fault(seconds, 0.17, 0.0, 1.0));
        },
    );
    row(
        "good, one of six new leafs fails for 1 s",
        rate,
        &|scenario, seconds| {
            let crash = fault(seconds, 0.17, 0.0, 1.0);
            let to = crash.from + 1_000;
            scenario.service.unrelated_fault = Some(UnrelatedFault { to, ..crash });
        },
    );
}

fn without_judge_or_source(rate: (f64, f64)) {
    row("good, judge killed at half", rate, &|scenario, seconds| {
        scenario.judge_killed_at = Some(seconds * 500);
    });
    row(
        "good, judge killed in the shift",
        rate,
        &|scenario, seconds| {
            scenario.judge_killed_at = Some(seconds * 1_000 - (seconds * 250).min(2_500) + 500);
        },
    );
    row("good, judge cut for a fifth", rate, &|scenario, seconds| {
        scenario.judge_partition = Some((seconds * 400, seconds * 600));
    });
    row(
        "bad 0.3 from 0.4, judge killed at half",
        rate,
        &|scenario, seconds| {
            scenario.judge_killed_at = Some(seconds * 500);
            scenario.service.defect.failing = 0.3;
            scenario.service.defect.starts_at = 0.4;
        },
    );
    row(
        "good, source away at the deadline",
        rate,
        &|scenario, seconds| {
            scenario.source_outage = Some((seconds * 700, seconds * 1_000 + 2_000));
        },
    );
}
