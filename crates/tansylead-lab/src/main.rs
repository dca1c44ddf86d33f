//! The `tansylead-lab` program.

fn main() -> eyre::Result<()> {
    let matches = tansylead_lab::command().get_matches();
    tansylead_lab::run(&matches)
}
