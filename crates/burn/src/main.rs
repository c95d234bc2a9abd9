//! Entry point of `baobabfall-burn`; the work is in the library.

use baobabfall_burn::{cli::BaobabfallBurn, options::BurnOptions, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = BaobabfallBurn::from_env_or_exit();
    match BurnOptions::check(flags).and_then(|options| run::run(&options)) {
        Ok(verdict) => verdict.exit_code(),
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            code
        }
    }
}
