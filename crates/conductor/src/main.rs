//! The conductor: the decisions of `oatpitch` on sockets, one process for one conductor.

use std::process::ExitCode;

fn main() -> ExitCode {
    oatpitch_conductor::run::main()
}
