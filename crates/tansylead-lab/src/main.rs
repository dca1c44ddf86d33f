//! The `tansylead-lab` program.

fn main() -> eyre::Result<()> {
    tansylead_lab::logging::init(log::LevelFilter::Info);
    let matches = tansylead_lab::command().get_matches();
    tansylead_lab::run(&matches)
}
