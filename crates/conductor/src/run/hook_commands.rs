//! The sub-commands that check and run hooks' scripts without a conductor.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use oatpitch::interface::Time;
use oatpitch_hooks::core::answer::Point;
use oatpitch_hooks::core::health::SuspensionPolicy;
use oatpitch_hooks::core::view::View;
use oatpitch_hooks::engine::{Limits, Program, SharedView};
use oatpitch_hooks::set::{HookConfig, HookSet};
use oatpitch_operator::SourceText;
use oatpitch_operator::records::hooks::HooksSettings;

use super::command::{EXIT_INVALID_FILE, HooksCommand};
use super::hooks::{bounds, limits, report_line, suspension_policy};

/// Units of [`Time`] in one millisecond.
const UNITS_PER_MILLISECOND: u64 = 10;

/// Runs a sub-command. An error is printed in one line on standard error.
pub fn execute(command: HooksCommand) -> ExitCode {
    let result = match command {
        HooksCommand::Check { file, settings } => check(&file, &settings),
        HooksCommand::Run { file, settings, input } => run(&file, &settings, input.as_deref()),
        HooksCommand::Sample => print_sample(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "oatpitch: {error:#}");
            ExitCode::from(EXIT_INVALID_FILE)
        }
    }
}

/// Parses the `KEY=VALUE` pairs of `--set` into an object.
fn parse_settings(settings: &[String]) -> Result<serde_json::Value> {
    let mut values = serde_json::Map::new();
    for pair in settings {
        let (key, value) =
            pair.split_once('=').with_context(|| format!("--set {pair}: KEY=VALUE is meant"))?;
        // A value that is not JSON is taken as a string.
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        values.insert(key.into(), value);
    }
    Ok(serde_json::Value::Object(values))
}

/// Reads and loads a script. Returns the program and its source.
fn load(path: &Path, settings: &serde_json::Value, limits: Limits) -> Result<(Program, String)> {
    let source = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    match Program::load(&source, limits, settings, &SharedView::from(View::sample())) {
        Ok(program) => Ok((program, source)),
        Err(error) => bail!("{}{}: {}", path.display(), error.position_suffix(), error.message),
    }
}

/// Returns the settings of a single hook with all defaults.
fn default_settings() -> Result<HooksSettings> {
    let source = r#"hooks: each: [{name: "tried", script: "tried"}]"#.to_string();
    let checked = oatpitch_operator::check_sources(&[SourceText { name: "usual".into(), source }])?;
    checked.settings.hooks.context("hooks: no defaults")
}

/// Returns the limits of that hook.
fn default_limits(hooks_settings: &HooksSettings) -> Result<Limits> {
    hooks_settings.hooks.first().map(limits).context("hooks.each: no defaults")
}

/// Loads and checks a script, and prints its points and settings.
fn check(path: &Path, settings: &[String]) -> Result<()> {
    let (program, _) = load(path, &parse_settings(settings)?, default_limits(&default_settings()?)?)?;
    let points: Vec<String> = program.points().iter().map(Point::to_string).collect();
    println!("{}: sound, at {}", path.display(), points.join(", "));
    for (name, setting) in program.declared_settings() {
        let default =
            setting.default.as_ref().map_or("must be set".into(), |default| format!("default {default}"));
        println!("  {name}: {}, {default}", setting.type_name);
    }
    Ok(())
}

/// Runs a script on a recorded view, and prints the view, the adjustments and the violations.
fn run(path: &Path, settings: &[String], input: Option<&Path>) -> Result<()> {
    let hooks_settings = default_settings()?;
    let settings = parse_settings(settings)?;
    let limits = default_limits(&hooks_settings)?;
    let (_, source) = load(path, &settings, limits.clone())?;
    let view = match input {
        Some(input) => {
            let text = std::fs::read(input).with_context(|| input.display().to_string())?;
            serde_json::from_slice(&text).with_context(|| input.display().to_string())?
        }
        None => View::sample(),
    };
    let name = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let bounds = bounds(&hooks_settings);
    // No conductor waits for the round, so that only the limits of its calls matter.
    let policy =
        SuspensionPolicy { round_time_limit: Time::from_ms(1_000), ..suspension_policy(&hooks_settings) };
    let mut hook_set = HookSet::new(bounds.clone(), policy.clone());
    let path = path.display().to_string();
    let hook = HookConfig { name, path, source, order: 0, limits, settings };
    let view = SharedView::from(view);
    for report in hook_set.reload(bounds, policy, vec![hook], &view) {
        println!("{}", report_line(&report));
    }
    println!("input: {}", serde_json::to_string(&*view.view)?);
    let (adjustments, reports) =
        hook_set.run_round(Time(view.view.now_ms.saturating_mul(UNITS_PER_MILLISECOND)), &view);
    for report in &reports {
        println!("{}", report_line(report));
    }
    println!(
        "shares: {:?}\nlevels by class: {:?}\ntries by class: {:?}",
        adjustments.shares, adjustments.levels, adjustments.tries
    );
    println!("parts by proxy: {:?}", adjustments.parts);
    for ((_, point, rule), count) in &hook_set.violations {
        println!("cut at {point}, {rule}: {count}");
    }
    Ok(())
}

/// Prints the sample view, which can be edited and passed to `run`.
fn print_sample() -> Result<()> {
    println!("{}", serde_json::to_string_pretty(&View::sample())?);
    Ok(())
}
