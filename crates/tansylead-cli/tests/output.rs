//! Output to a pipe whose reader has closed it.

use std::path::PathBuf;
use std::process::Command;

const SETTINGS: &str = r#"
cluster = "registry"
place = "bangkok"
zone = "bangkok-a"
caller_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:7000"
seeds = ["127.0.0.1:7001"]
store_address = "127.0.0.1:9000"
"#;

#[test]
fn a_reader_that_went_away_does_not_change_the_exit_status() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings.toml");
    std::fs::write(&file, SETTINGS).expect("the settings are written");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let status = Command::new(env!("CARGO_BIN_EXE_tansylead"))
        .arg("check")
        .arg(&file)
        .stdout(writer)
        .status()
        .expect("the program runs");
    assert!(status.success(), "{status}");
}
