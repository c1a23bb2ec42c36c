//! The conductor: the decisions of `oatpitch` on sockets, one process for one conductor.

mod run;
mod wire;

use std::process::ExitCode;

fn main() -> ExitCode {
    run::main()
}
