//! Runs one case of the review against the project's own programs: `review_cases NUMBER FOLDER`, from the root of the
//! repository. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod case_1;
mod case_2;
mod case_3;
mod collector;
mod conductor;
mod deployment;
mod discovery;
mod dispatcher;
mod json;
mod record;
mod rule_no_node;
mod servers;
mod settings;

use std::path::Path;
use std::process::ExitCode;

use deployment::Deployment;

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const COULD_NOT_RUN: u8 = 2;

fn run(number: &str, folder: &Path) -> std::io::Result<usize> {
    let root = std::env::current_dir()?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match number {
        "1" => case_1::run(
            &mut Deployment::new(&root, folder, settings::SOCKET_SIZE, case_1::classes())?,
            has_trouble,
        ),
        "2" => case_2::run(
            &mut Deployment::new(&root, folder, settings::FIRST_SIZE, case_2::classes())?,
            has_trouble,
        ),
        "3" => case_3::run(
            &mut Deployment::new(&root, folder, settings::FIRST_SIZE, case_3::classes())?,
            has_trouble,
        ),
        _ => Err(std::io::Error::other("no such case")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(number), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review_cases NUMBER FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    match run(number, Path::new(folder)) {
        Ok(0) => ExitCode::from(HELD),
        Ok(_) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
