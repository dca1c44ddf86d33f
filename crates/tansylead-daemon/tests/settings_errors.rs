//! Errors in settings name the file, the key and the value.

use std::path::PathBuf;
use tansylead_daemon::{SettingsOverrides, load_settings};

const GOOD: &str = r#"
cluster = "registry"
place = "bangkok"
zone = "bangkok-a"
caller_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:7000"
store_address = "127.0.0.1:9000"
"#;

fn file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("write");
    path
}

fn error_of(name: &str, text: &str) -> String {
    let path = file(name, text);
    let error = load_settings(Some(&path), &SettingsOverrides::default()).expect_err("refused");
    let directory = format!("{}/", path.parent().expect("parent").display());
    error.to_string().replace(&directory, "")
}

#[test]
fn errors_name_file_key_and_value() {
    let replaced = |from: &str, to: &str| GOOD.replace(from, to);
    let cases = [
        ("unknown-key", format!("zoen = \"x\"\n{GOOD}")),
        ("unknown-timing-key", format!("{GOOD}[timing]\nspeed = 3\n")),
        ("missing-key", replaced("cluster = \"registry\"\n", "")),
        ("bad-address", replaced("127.0.0.1:8080", "127.0.0.1")),
        ("bad-name", replaced("bangkok-a", "bangkok a")),
        ("wildcard-peer", replaced("127.0.0.1:7000", "0.0.0.0:7000")),
        (
            "unreachable-store",
            replaced("127.0.0.1:9000", "127.0.0.1:0"),
        ),
        ("bad-seed", format!("seeds = [\"here\"]\n{GOOD}")),
        ("bad-level", format!("log_level = \"loud\"\n{GOOD}")),
        ("no-threads", format!("worker_threads = 0\n{GOOD}")),
        ("wrong-type", format!("worker_threads = \"two\"\n{GOOD}")),
        (
            "negative",
            format!("{GOOD}[timing]\nprobe_period_millis = -1\n"),
        ),
        (
            "zero-period",
            format!("{GOOD}[timing]\nhealth_period_millis = 0\n"),
        ),
        (
            "slow-polls",
            format!("{GOOD}[timing]\nhealth_period_millis = 3000\n"),
        ),
        (
            "skew",
            format!("{GOOD}[timing]\nclock_skew_millis = 600000\n"),
        ),
        ("empty-cluster", replaced("\"registry\"", "\" \"")),
        ("not-toml", format!("{GOOD}zone\n")),
    ];
    let errors: Vec<String> = cases
        .iter()
        .map(|(name, text)| error_of(name, text))
        .collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn a_missing_file_is_named() {
    let path = PathBuf::from("no-such-directory/tansylead.toml");
    let error = load_settings(Some(&path), &SettingsOverrides::default()).expect_err("refused");
    insta::assert_snapshot!(error, @"no-such-directory/tansylead.toml: cannot read settings: No such file or directory (os error 2)");
}

#[test]
fn flags_win_over_the_file() {
    let path = file("good", GOOD);
    let mut overrides = SettingsOverrides::default();
    overrides.set_text("zone", "bangkok-b");
    overrides.set_texts("seeds", ["10.0.0.1:7000".to_owned()]);
    overrides.set_number("timing.drain_limit_millis", 5);
    let settings = load_settings(Some(&path), &overrides).expect("accepted");
    assert_eq!(settings.zone.as_str(), "bangkok-b");
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!(settings.timing.drain_limit_millis, 5);
    assert_eq!(settings.timing.probe_period_millis, 1_000);
}

#[test]
fn a_bad_flag_is_named() {
    let mut overrides = SettingsOverrides::default();
    overrides.set_text("peer_address", "nowhere");
    let error = load_settings(None, &overrides).expect_err("refused");
    insta::assert_snapshot!(error, @r#"flags: peer_address = "nowhere": invalid socket address syntax"#);
}
