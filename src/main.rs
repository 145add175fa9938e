//! The one binary: see `chicoryreach --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryreach::cli::main()
}
