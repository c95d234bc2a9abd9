//! Executable of the router: parses the command line and maps errors to exit codes.

use baobabfall_router::cli::BaobabfallRouter;
use baobabfall_router::run_process;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = BaobabfallRouter::from_env_or_exit();
    match run_process(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.kind().answer().exit_code;
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
