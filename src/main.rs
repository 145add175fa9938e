//! The `chicoryreach` binary. `chicoryreach --help` lists its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryreach::cli::main()
}
