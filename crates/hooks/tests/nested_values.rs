//! Hooks that nest values as deep as their limits allow, and then have the engine go through them. An overflow of the
//! stack would end this process.

use std::sync::mpsc::channel;
use std::time::Duration;

use oatpitch::interface::Time;
use oatpitch_hooks::core::guard::Bounds;
use oatpitch_hooks::core::health::SuspensionPolicy;
use oatpitch_hooks::core::view::View;
use oatpitch_hooks::engine::{Limits, Program, SharedView};
use oatpitch_hooks::set::HookConfig;
use oatpitch_hooks::worker::{HookRequest, HookResponse, Worker};
use serde_json::Value;

/// The most that the operator's file accepts.
const LARGEST_LIMITS: Limits =
    Limits { max_operations: 10_000_000, time_limit: Duration::from_secs(1), max_memory_bytes: 16 << 20 };

/// Levels that each operation of the scripts adds to a list and to a map.
const LIST_LEVELS_PER_OPERATION: usize = 4;
const MAP_LEVELS_PER_OPERATION: usize = 2;

/// Levels that overflow a stack of 2 MiB where the engine calls a function for each of them.
const CALLED_LEVELS: usize = 2_000;
/// Levels that overflow it where no function is called between them.
const PLAIN_LEVELS: usize = 8_000;

/// What each script does with a list `a` that contains a list or a map nested so deep.
const USES: [(&str, usize, &str); 14] = [
    ("writes it as text", CALLED_LEVELS, "a.to_string(); 1"),
    ("writes it for debugging", CALLED_LEVELS, "a.to_debug(); 1"),
    ("puts it into a text", CALLED_LEVELS, "let text = `${a}`; 1"),
    ("appends it to a text", CALLED_LEVELS, "let text = \"\"; text += a; 1"),
    ("compares it", CALLED_LEVELS, "let b = a; if a == b { 1 } else { 2 }"),
    ("looks for it", CALLED_LEVELS, "let b = [a]; if b.contains(a) { 1 } else { 2 }"),
    ("looks for its place", CALLED_LEVELS, "let b = [a]; b.index_of(a)"),
    ("drops what stands twice", CALLED_LEVELS, "let b = [a, a]; b.dedup(); 1"),
    ("branches by it", PLAIN_LEVELS, "switch a { 1 => 2, _ => 3 }"),
    ("writes it as JSON", PLAIN_LEVELS, "let m = #{ a: a }; m.to_json(); 1"),
    ("returns it", PLAIN_LEVELS, "a"),
    ("throws it", PLAIN_LEVELS, "throw a;"),
    ("stores it", PLAIN_LEVELS, "this.a = a; 1"),
    ("drops it", PLAIN_LEVELS, "a = 1; a"),
];

/// Returns a script that nests a list or a map for so many levels and then uses it.
fn script(nested_list: bool, levels: usize, usage: &str) -> String {
    let (empty, nested, levels_per_operation) = if nested_list {
        ("[]", "[[[[a.pop()]]]]", LIST_LEVELS_PER_OPERATION)
    } else {
        ("#{}", "#{ a: #{ a: a.pop() } }", MAP_LEVELS_PER_OPERATION)
    };
    let operations = levels / levels_per_operation;
    format!(
        "fn shape(view, settings) {{ let a = [{empty}]; let i = 0; \
         while i < {operations} {{ a.push({nested}); i += 1; }} {usage} }}"
    )
}

/// Loads a script that uses a value nested so deep, with time enough for it.
fn load_nested(nested_list: bool, (what, levels, usage): (&str, usize, &str)) {
    let limits = Limits { time_limit: Duration::from_secs(60), ..LARGEST_LIMITS };
    let source = script(nested_list, levels, usage);
    let loaded = Program::load(&source, limits, &Value::Null, &SharedView::from(View::sample()));
    let outcome = loaded.err().map_or("loaded".to_string(), |error| error.to_string());
    assert!(!outcome.contains("limit") && !outcome.contains("panicked"), "{what}: {outcome:.80}");
}

/// Guards against a conductor that ends with an overflow of its stack: the engine goes through nested lists by
/// recursion, and its limits bound their size but not their depth.
#[test]
fn deeply_nested_lists_do_not_overflow_the_stack() {
    USES.into_iter().for_each(|usage| load_nested(true, usage));
}

/// The same, of maps.
#[test]
fn deeply_nested_maps_do_not_overflow_the_stack() {
    USES.into_iter().for_each(|usage| load_nested(false, usage));
}

/// The time of a call bounds how deep its values can be nested.
#[test]
fn values_that_are_nested_without_end_are_stopped_by_the_time_limit() {
    let sample = SharedView::from(View::sample());
    for nested_list in [true, false] {
        let source = script(nested_list, usize::MAX >> 1, "1");
        let error = Program::load(&source, LARGEST_LIMITS, &Value::Null, &sample).err().expect("no end");
        assert_eq!(error.message, "shape, trial call: exceeded its time limit");
    }
}

/// What the engine refuses is told as such, and the hook before it stays in use. This is the conductor's own thread for
/// hooks.
#[test]
fn a_hook_whose_values_are_nested_too_deeply_is_refused_by_name() {
    let (sender, responses) = channel();
    let bounds = || Bounds {
        min_share: 0.25,
        max_share: 2.0,
        min_admitted_share: 0.1,
        max_lines_per_round: 50,
        share_hold_time: Time::from_ms(2_000),
    };
    let policy = || SuspensionPolicy {
        failure_threshold: 3,
        failure_window: Time::from_ms(60_000),
        initial_suspension: Time::from_ms(1_000),
        max_suspension: Time::from_ms(8_000),
        trial_calls: 3,
        round_time_limit: Time::from_ms(1_000),
    };
    let worker = Worker::start(bounds(), policy(), move |response| sender.send(response).is_ok());
    let reload = |source: String| {
        let config = HookConfig {
            name: "deep".into(),
            path: "deep.rhai".into(),
            source,
            order: 1,
            limits: Limits { time_limit: Duration::from_secs(60), ..LARGEST_LIMITS },
            settings: Value::Null,
        };
        let sample = Box::new(View::sample());
        assert!(worker.try_send(HookRequest::Reload(bounds(), policy(), vec![config], sample)));
        match responses.recv() {
            Ok(HookResponse::Reloaded(reports)) => reports.into_iter().map(|report| report.message).collect(),
            other => panic!("{other:?}"),
        }
    };
    let sound: Vec<String> = reload("fn shape(view, settings) { #{} }".into());
    assert_eq!(sound.len(), 1, "{sound:?}");
    let refused = reload(script(true, 16_000, "let b = a; if a == b { 1 } else { 2 }"));
    let expected = "shape, trial call: values are nested too deeply; the previous version stays in use";
    assert!(refused.iter().any(|message| message.contains(expected)), "{refused:?}");
}
