//! Prints how roll-outs end: good and bad versions, over rates, durations and kinds of badness.
//!
//! Usage: `cargo run --release -p tansylead-route --example roll_out_table [roll-outs a row]`.

#[path = "../tests/roll_out_world/mod.rs"]
mod roll_out_world;

use roll_out_world::{BOUNDS, Badness, Outcome, Service, Setting, Trouble, play};
use std::time::Duration;
use tansylead_route::Conclusion;

/// Rates of requests a second, with the median time of an answer in milliseconds.
const RATES: [(f64, f64); 4] = [(21.0, 90.0), (36.0, 4.0), (63.0, 11.0), (99.0, 11.0)];
const DURATIONS: [u64; 3] = [6, 12, 30];
const ROLL_OUTS: u64 = 40;
const THREADS: u64 = 4;

fn setting(rate: (f64, f64), seconds: u64, bad: Badness) -> Setting {
    Setting {
        daemons: 65,
        duration: Duration::from_secs(seconds),
        service: Service {
            rate: rate.0,
            routes: 2,
            median: rate.1,
            spread: 0.4,
            usual_failures: 0.01,
            starts_after: 1_000,
            bad,
            trouble: None,
        },
        loss: 0.01,
        are_stages_pushed: true,
        judge_killed_at: None,
        judge_cut: None,
        source_away: None,
    }
}

/// Plays in a few threads.
fn play_all(setting: &Setting, roll_outs: u64) -> Vec<Outcome> {
    let part = |first: u64| (first..roll_outs).step_by(THREADS as usize);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| {
                let seeds = part(first);
                scope.spawn(move || seeds.map(|seed| play(setting, seed)).collect::<Vec<_>>())
            })
            .collect();
        let joined = threads
            .into_iter()
            .map(|thread| thread.join().expect("a thread plays"));
        joined.flatten().collect()
    })
}

fn row(name: &str, rate: (f64, f64), seconds: u64, change: &dyn Fn(&mut Setting)) {
    let asked = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let roll_outs: u64 = asked.unwrap_or(ROLL_OUTS);
    let mut setting = setting(rate, seconds, Badness::default());
    change(&mut setting);
    let outcomes = play_all(&setting, roll_outs);
    let part = |conclusion| {
        let ended = outcomes.iter().filter(|outcome| outcome.is(conclusion));
        ended.count() as f64 / roll_outs as f64
    };
    let mean = |count: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(count).sum::<f64>() / roll_outs as f64
    };
    let bound = |outcome: &Outcome| BOUNDS.share * outcome.requests as f64 + BOUNDS.slack;
    let used = mean(&|outcome| outcome.sends as f64 / bound(outcome));
    let bad = mean(&|outcome| outcome.bad as f64);
    let ended = mean(&|outcome| outcome.ended.map_or(0.0, |(_, _, at)| at as f64)) / 1_000.0;
    let beyond = outcomes
        .iter()
        .map(|outcome| outcome.beyond_bound)
        .fold(0.0, f64::max);
    let in_time = outcomes.iter().filter(|outcome| {
        let ended = outcome
            .ended
            .is_some_and(|(_, _, at)| at <= seconds * 1_000);
        ended && outcome.is(Conclusion::Complete)
    });
    let in_time = in_time.count() as f64 / roll_outs as f64;
    let mut reasons = std::collections::BTreeMap::new();
    for outcome in &outcomes {
        let label = outcome
            .ended
            .map_or("none", |(_, reason, _)| reason.label());
        *reasons.entry(label).or_insert(0) += 1;
    }
    println!(
        "| {name} | {} | {seconds} | {:.2} | {in_time:.2} | {:.2} | {ended:.1} | {used:.2} | {bad:.1} | {beyond:.0} | {reasons:?} |",
        rate.0,
        part(Conclusion::Complete),
        part(Conclusion::RollBack),
    );
}

fn main() {
    println!(
        "| version | requests a second | s | completed | in time | rolled back | ended at s | bound used | bad answers | beyond bound | reasons |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for rate in RATES {
        for seconds in DURATIONS {
            rows(rate, seconds);
        }
    }
}

fn rows(rate: (f64, f64), seconds: u64) {
    row("good", rate, seconds, &|_| {});
    row("good, stages not pushed", rate, seconds, &|setting| {
        setting.are_stages_pushed = false
    });
    for failing in [0.05, 0.1, 0.3, 0.6] {
        let name = format!("bad {failing}");
        row(&name, rate, seconds, &|setting| {
            setting.service.bad.failing = failing
        });
    }
    for starts_at in [0.5, 0.8] {
        let name = format!("bad 0.3 from {starts_at}");
        row(&name, rate, seconds, &|setting| {
            setting.service.bad.failing = 0.3;
            setting.service.bad.starts_at = starts_at;
        });
    }
    row("bad 0.3 under load", rate, seconds, &|setting| {
        setting.service.bad.failing = 0.3;
        setting.service.bad.only_under_load = true;
    });
    row("bad 0.3 on one of two routes", rate, seconds, &|setting| {
        setting.service.bad.failing = 0.3;
        setting.service.bad.only_one_route = true;
    });
    for slow in [2.0, 4.0, 8.0] {
        let name = format!("slow {slow}");
        row(&name, rate, seconds, &|setting| {
            setting.service.bad.slow = slow
        });
    }
    row("slow 4 from 0.8", rate, seconds, &|setting| {
        setting.service.bad.slow = 4.0;
        setting.service.bad.starts_at = 0.8;
    });
    row("slow 4 under load", rate, seconds, &|setting| {
        setting.service.bad.slow = 4.0;
        setting.service.bad.only_under_load = true;
    });
    troubled(rate, seconds);
}

fn troubled(rate: (f64, f64), seconds: u64) {
    let trouble = |new_failing: f64, old_failing: f64, slow: f64| Trouble {
        from: seconds * 400,
        to: seconds * 600,
        old_failing,
        new_failing,
        slow,
    };
    row(
        "good, both fail 0.3 for a fifth",
        rate,
        seconds,
        &|setting| {
            setting.service.trouble = Some(trouble(0.3, 0.3, 1.0));
        },
    );
    row("good, both slow 5 for a fifth", rate, seconds, &|setting| {
        setting.service.trouble = Some(trouble(0.0, 0.0, 5.0));
    });
    row(
        "good, one of six new leafs fails for a fifth",
        rate,
        seconds,
        &|setting| {
            setting.service.trouble = Some(trouble(0.17, 0.0, 1.0));
        },
    );
    row(
        "good, one of six new leafs crashes for 1 s",
        rate,
        seconds,
        &|setting| {
            let crash = trouble(0.17, 0.0, 1.0);
            let to = crash.from + 1_000;
            setting.service.trouble = Some(Trouble { to, ..crash });
        },
    );
    row("good, judge killed at half", rate, seconds, &|setting| {
        setting.judge_killed_at = Some(seconds * 500);
    });
    row(
        "good, judge killed in the shift",
        rate,
        seconds,
        &|setting| {
            setting.judge_killed_at = Some(seconds * 1_000 - (seconds * 250).min(2_500) + 500);
        },
    );
    row("bad 0.3, judge killed at half", rate, seconds, &|setting| {
        setting.judge_killed_at = Some(seconds * 500);
        setting.service.bad.failing = 0.3;
        setting.service.bad.starts_at = 0.4;
    });
    row(
        "good, source away at the deadline",
        rate,
        seconds,
        &|setting| {
            setting.source_away = Some((seconds * 700, seconds * 1_000 + 2_000));
        },
    );
}
