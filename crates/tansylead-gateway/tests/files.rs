//! Settings and routes files: what is taken, and what is refused with its reason.

use std::path::{Path, PathBuf};
use tansylead_gateway::GatewaySettings;
use tansylead_gateway::routes_file::RoutesFile;

fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    root.join(name)
}

/// Writes the example with one text replaced and gives the path.
fn changed(folder: &Path, name: &str, from: &str, to: &str) -> PathBuf {
    let text = std::fs::read_to_string(example(name)).expect("example is there");
    assert!(text.contains(from), "{from} is not in {name}");
    let path = folder.join(name);
    std::fs::write(&path, text.replacen(from, to, 1)).expect("writes");
    path
}

fn refused_settings(from: &str, to: &str) -> String {
    let folder = tempfile::tempdir().expect("folder");
    let path = changed(folder.path(), "settings.toml", from, to);
    let error = GatewaySettings::load(&path).expect_err("refused");
    error.to_string()
}

fn refused_routes(from: &str, to: &str) -> String {
    let folder = tempfile::tempdir().expect("folder");
    let path = changed(folder.path(), "routes.toml", from, to);
    let error = RoutesFile::load(&path).expect_err("refused");
    error.to_string()
}

#[test]
fn the_examples_can_be_used() {
    let settings = GatewaySettings::load(&example("settings.toml")).expect("settings");
    assert_eq!(settings.zone.as_str(), "bangkok-a");
    let routes = RoutesFile::load(&example("routes.toml")).expect("routes");
    assert_eq!(routes.configuration.version, 1);
    assert_eq!(routes.leafs.len(), 3);
}

#[test]
fn settings_that_cannot_be_used_are_refused_with_the_field() {
    let error = refused_settings("retry_ratio = 0.2", "retry_ratio = -1");
    assert!(
        error.contains("retry_ratio must be zero or more"),
        "{error}"
    );
    let error = refused_settings("stop_limit_seconds = 6", "stop_limit_seconds = 0");
    assert!(
        error.contains("stop_limit_seconds must be above zero"),
        "{error}"
    );
    for share in ["-0.1", "1.1", "nan"] {
        let error = refused_settings("exposure_share = 0.1", &format!("exposure_share = {share}"));
        assert!(
            error.contains("exposure_share must be from 0 to 1"),
            "{error}"
        );
    }
    let error = refused_settings("exposure_slack = 20", "exposure_slack = -1");
    assert!(
        error.contains("exposure_slack must be zero or more"),
        "{error}"
    );
    let error = refused_settings(
        "roll_back_limit_millis = 5000",
        "roll_back_limit_millis = 0",
    );
    assert!(
        error.contains("roll_back_limit_millis must be above zero"),
        "{error}"
    );
    let error = refused_settings("zone = \"bangkok-a\"", "zone = \"phuket-a\"");
    assert!(error.contains("zone phuket-a is not among"), "{error}");
    let error = refused_settings("cluster =", "clutser =");
    assert!(error.contains("clutser"), "{error}");
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = GatewaySettings::load(Path::new("/nonexistent/settings.toml"));
    let error = error.expect_err("refused").to_string();
    assert!(error.contains("/nonexistent/settings.toml"), "{error}");
}

#[test]
fn routes_that_cannot_be_used_are_refused_with_their_names() {
    let error = refused_routes("shards = [\"court-notices-1\", \"court-notices-2\"]\n", "");
    assert!(error.contains("route screening must state"), "{error}");
    let error = refused_routes(
        "service = \"disputes\", weight",
        "service = \"absent\", weight",
    );
    assert!(
        error.contains("service absent, which is not listed"),
        "{error}"
    );
    let error = refused_routes("path_prefix = \"/dispute/\"", "path_prefix = \"/full/\"");
    assert!(error.contains("same host and prefix"), "{error}");
    let bound = "cold_requests_per_second = ";
    let error = refused_routes(&format!("{bound}20.0"), &format!("{bound}0.0"));
    assert!(error.contains("disputes must be above zero"), "{error}");
    let error = refused_routes("slots = 5", "slost = 5");
    assert!(error.contains("slost"), "{error}");
}
