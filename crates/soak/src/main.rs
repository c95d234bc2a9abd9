//! Entry point of `baobabfall-soak`. The exit code is 0 if every invariant held, 1 if one was
//! violated, 2 for invalid arguments and 3 if a run could not be completed.

use baobabfall_soak::cli::BaobabfallSoak;
use baobabfall_soak::error::SoakError;
use std::process::ExitCode;

fn main() -> ExitCode {
    match baobabfall_soak::run(&BaobabfallSoak::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            let code = if matches!(error, SoakError::Usage(_)) { 2 } else { 3 };
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
