//! The `oatpitch` program. One process runs one conductor.

use std::process::ExitCode;

fn main() -> ExitCode {
    oatpitch_conductor::run::main()
}
