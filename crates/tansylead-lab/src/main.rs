//! The `tansylead-lab` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansylead_lab::logging::init(log::LevelFilter::Info);
    let matches = tansylead_lab::command().get_matches();
    match tansylead_lab::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tansylead-lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}
