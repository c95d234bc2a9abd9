//! Entry point of `baobabfall-soak`.

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
