//! The `tansylead` program: the daemon and the operators' command-line tool in one binary.

#[macro_use]
mod output;

mod check_command;
mod commands;
mod daemon_flag;
mod exit_code;
mod explain_command;
mod gateway_command;
mod http_client;
mod query_command;
mod serve_command;
mod settings_flags;
mod status_command;
mod table_commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::program().get_matches();
    let status = match commands::run(&matches) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("tansylead: {error:#}");
            exit_code::status_of(&error)
        }
    };
    status.into()
}
