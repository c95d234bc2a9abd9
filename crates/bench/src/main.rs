//! Entry point of `baobabfall-bench`.

use baobabfall_bench::cli::BaobabfallBench;
use std::process::ExitCode;

fn main() -> ExitCode {
    match baobabfall_bench::run(BaobabfallBench::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
