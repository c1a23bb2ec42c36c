//! Hooks that misbehave in every way, one by one and together: each is cut off or suspended and reported by name, and
//! the adjustments keep the rules.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use oatpitch::interface::Time;
use oatpitch_hooks::core::answer::{Point, Rule};
use oatpitch_hooks::core::guard::Bounds;
use oatpitch_hooks::core::health::SuspensionPolicy;
use oatpitch_hooks::core::view::{NodeView, View};
use oatpitch_hooks::engine::{Limits, Program, SharedView};
use oatpitch_hooks::set::{HookConfig, HookSet, Report};
use serde_json::{Value, json};

/// Time of the first round.
const START: Time = Time(1_000_000);

fn limits() -> Limits {
    Limits { max_operations: 20_000, time_limit: Duration::from_millis(50), max_memory_bytes: 64 << 10 }
}

fn bounds() -> Bounds {
    Bounds {
        min_share: 0.25,
        max_share: 2.0,
        min_admitted_share: 0.1,
        max_lines_per_round: 50,
        share_hold_time: Time::from_ms(2_000),
    }
}

fn policy() -> SuspensionPolicy {
    SuspensionPolicy {
        failure_threshold: 3,
        failure_window: Time::from_ms(60_000),
        initial_suspension: Time::from_ms(1_000),
        max_suspension: Time::from_ms(8_000),
        trial_calls: 3,
        round_time_limit: Time::from_ms(1_000),
    }
}

fn sample() -> SharedView {
    SharedView::from(View::sample())
}

fn load(source: &str) -> Result<Program, String> {
    Program::load(source, limits(), &Value::Null, &sample()).map_err(|error| error.to_string())
}

fn config(name: &str, order: u32, source: &str) -> HookConfig {
    HookConfig {
        name: name.into(),
        path: format!("{name}.rhai"),
        source: source.into(),
        order,
        limits: limits(),
        settings: Value::Null,
    }
}

/// Returns a set with these hooks, and the reports of loading them.
fn load_all(configs: Vec<HookConfig>) -> (HookSet, Vec<Report>) {
    let mut hooks = HookSet::new(bounds(), policy());
    let reports = hooks.reload(bounds(), policy(), configs, &sample());
    (hooks, reports)
}

/// Returns a set with one hook, called `name`.
fn load_one(name: &str, source: &str) -> (HookSet, Vec<Report>) {
    load_all(vec![config(name, 1, source)])
}

/// Returns a fleet of nodes `s-0`, `s-1` and so on, the first ones cold.
fn fleet(node_count: usize, cold_count: usize) -> View {
    let node = |index: usize| NodeView {
        name: format!("s-{index}"),
        ready: true,
        warmed_up: index >= cold_count,
        warm_up_progress: if index < cold_count { 0.2 } else { 1.0 },
        ..View::sample().nodes[0].clone()
    };
    View { nodes: (0..node_count).map(node).collect(), ..View::sample() }
}

#[test]
fn scripts_that_cannot_be_loaded_are_rejected_with_their_position() {
    let parentheses =
        |depth: usize| format!("fn shape(view, settings) {{ {}1{} }}", "(".repeat(depth), ")".repeat(depth));
    let blocks =
        |depth: usize| format!("fn shape(v, s) {{ {} {} }}", "if true {".repeat(depth), "}".repeat(depth));
    let megabyte = format!("fn shape(view, settings) {{ }}\n//{}", "x".repeat(1 << 20));
    for (source, expected) in [
        ("fn shape(view, settings) {\n  let x = ;\n}", "line 2, column 11: "),
        ("fn shape(view, settings) { loop { } }", "shape, trial call: exceeded its limit of operations"),
        ("fn settings() { loop { } }\nfn shape(v, s) { }", "exceeded its limit of operations"),
        (
            "fn f() { f() }\nfn shape(view, settings) { f() }",
            "shape, trial call: function calls are nested too deeply",
        ),
        ("fn shape(view, settings) { \"text\" }", "returns neither a number nor a map"),
        ("fn shape(view, settings) { view.nodes[999].name }", "shape, trial call: "),
        ("fn shape(view, settings) { throw \"no\" }", "shape, trial call: "),
        ("fn shape(view, settings) { eval(\"1\") }", "eval"),
        ("fn shape(view, settings) {\n  view.nodes.curry(1)\n}", "line 2, column 14: curry is disabled"),
        ("fn shape(view, settings) { curry(1) }", "line 1, column 28: curry is disabled"),
        ("fn shape(view, settings) { import \"x\" as y; }", "import"),
        ("fn shape(view, settings) { timestamp() }", "timestamp"),
        ("fn shape(view) { }", "shape must take 2 parameters"),
        ("fn level(class, view) { }", "level must take 3 parameters"),
        ("fn other() { }", "defines none of the functions shape"),
        ("let x = 1;", "defines none of the functions shape"),
        ("fn settings() { #{ x: \"date\" } }\nfn shape(v, s) { }", "x is of type \"date\""),
        ("fn settings() { #{ x: \"int\" } }\nfn shape(v, s) { }", "settings.x: is not set; expected int"),
        ("fn shape(view, settings) { let a = []; loop { a.push(1); } }", "exceeds its size limit"),
        ("fn shape(view, settings) { let a = \"x\"; loop { a += a; } }", "exceeds its size limit"),
        ("fn shape(view, settings) { view.nodes = []; }", "shape, trial call: "),
        (megabyte.as_str(), "bytes exceed the maximum of 65536"),
        (parentheses(10_000).as_str(), "line 1, column "),
        (blocks(4_000).as_str(), "line 1, column "),
        (parentheses(100).as_str(), "line 1, column "),
    ] {
        let error = load(source).err().unwrap_or_else(|| panic!("loaded: {source:.60}"));
        assert!(error.contains(expected), "{source:.60}: {error}");
    }
    let load_with = |settings: Value| {
        let source = "fn settings() { #{ x: \"int\" } }\nfn shape(v, s) { }";
        Program::load(source, limits(), &settings, &sample()).map(drop).map_err(|error| error.message)
    };
    assert_eq!(load_with(json!({"x": 3})), Ok(()));
    assert_eq!(load_with(json!({"x": "3"})), Err("settings.x: \"3\" is not of type int".into()));
    assert!(
        load_with(json!({"x": 3, "y": 1})).is_err_and(|message| message.contains("settings.y: not declared"))
    );
}

/// The limit of operations stops no script whose single operations take long; the time limit does.
#[test]
fn an_endless_loop_is_stopped_by_the_time_limit() {
    let limits = Limits { max_operations: u64::MAX, time_limit: Duration::from_millis(5), ..limits() };
    let start = Instant::now();
    let loaded =
        Program::load("fn shape(view, settings) { while true { } }", limits, &Value::Null, &sample());
    let error = loaded.err().expect("a call that is stopped");
    assert_eq!(error.message, "shape, trial call: exceeded its time limit");
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

/// Guards against a call that takes many times its time limit because each of its operations is long: the deadline was
/// looked at every 256 operations only.
#[test]
fn a_loop_of_long_operations_is_stopped_soon_after_its_time_limit() {
    const OPERATIONS_ALLOWED: u32 = 16;
    let limits = Limits {
        max_operations: u64::MAX,
        time_limit: Duration::from_millis(5),
        max_memory_bytes: 256 << 10,
    };
    let time_of = |limits: &Limits, body: &str| {
        let source = format!("fn shape(view, settings) {{ let a = []; a.pad(8000, 1.5); {body} }}");
        let start = Instant::now();
        let loaded = Program::load(&source, limits.clone(), &Value::Null, &sample());
        (start.elapsed(), loaded.err().map(|error| error.message))
    };
    // Other processes can only lengthen a call, so the shortest of several counts.
    let shortest = |limits: &Limits, body: &str| (0..5).map(|_| time_of(limits, body)).min().expect("calls");
    let generous = Limits { time_limit: Duration::from_secs(10), ..limits.clone() };
    let ten_operations = "for i in [1, 2, 3, 4, 5, 6, 7, 8, 9, 10] { a.to_string(); }";
    let (time_of_ten, _) = shortest(&generous, ten_operations);
    let (elapsed, error) = shortest(&limits, "loop { a.to_string(); }");
    assert_eq!(error.as_deref(), Some("shape, trial call: exceeded its time limit"));
    let allowed = limits.time_limit + time_of_ten * OPERATIONS_ALLOWED / 10;
    assert!(elapsed < allowed, "{elapsed:?} for {allowed:?}");
}

/// Shares that are 0, negative, huge or not a number, nodes that are unknown, draining or cold, and tries of what must
/// not be repeated: each is cut by its rule and counted by hook and point, and the adjustments are within all bounds.
#[test]
fn answers_are_cut_by_the_rule_that_they_break() {
    let shape = |value: &str| format!("fn shape(view, settings) {{ #{{ \"s-0\": {value} }} }}");
    for (source, point, rule, share) in [
        (shape("0"), Point::Shape, Rule::LineRequired, Some(0.25)),
        (shape("-1"), Point::Shape, Rule::InvalidNumber, None),
        (shape("0.0/0.0"), Point::Shape, Rule::InvalidNumber, None),
        (shape("1e300"), Point::Shape, Rule::OutOfBounds, Some(2.0)),
        (shape("\"x\""), Point::Shape, Rule::InvalidNumber, None),
        ("fn shape(v, s) { #{ \"s-99\": 1.5 } }".into(), Point::Shape, Rule::UnknownName, None),
        // The sample's s-5 is draining and its s-4 cold.
        ("fn shape(v, s) { #{ \"s-5\": 1.5 } }".into(), Point::Shape, Rule::Draining, None),
        ("fn shape(v, s) { #{ \"s-4\": 1.5 } }".into(), Point::Shape, Rule::ColdNode, None),
        ("fn admit(v, s) { #{ \"s-4\": 1.5 } }".into(), Point::Admit, Rule::ColdNode, None),
        ("fn admit(v, s) { #{ \"s-0\": 0.5 } }".into(), Point::Admit, Rule::UnknownName, None),
        ("fn level(c, v, s) { 0 }".into(), Point::Level, Rule::LineRequired, None),
        ("fn level(c, v, s) { 7 }".into(), Point::Level, Rule::OutOfBounds, None),
        ("fn tries(c, v, s) { 3 }".into(), Point::Tries, Rule::RetryLimit, None),
        ("fn place(p, v, s) { 9 }".into(), Point::Place, Rule::LineRequired, None),
        ("fn place(p, v, s) { -1 }".into(), Point::Place, Rule::InvalidNumber, None),
        ("fn level(c, v, s) { #{ } }".into(), Point::Level, Rule::InvalidNumber, None),
    ] {
        let (mut hooks, reports) = load_one("bad", &source);
        assert!(reports.iter().all(|report| !report.is_fault), "{source}: {reports:?}");
        let (adjustments, reports) = hooks.run_round(START, &sample());
        let cut = format!("{point}, {rule}: ");
        assert!(reports.iter().any(|report| report.hook == "bad" && report.message.contains(&cut)));
        let violations: Vec<_> =
            hooks.violations.keys().map(|(hook, point, rule)| (hook.0, *point, *rule)).collect();
        assert!(violations.contains(&(0, point, rule)), "{source}: {violations:?}");
        let shares = &adjustments.shares;
        assert_eq!(shares.get("s-0").copied(), share, "{source}: {adjustments:?}");
        assert!(!shares.contains_key("s-5") && !shares.contains_key("s-99"), "{adjustments:?}");
        assert!(shares.get("s-4").is_none_or(|share| *share <= 1.0));
        // The sample's second class has an effect, and the module allows further tries only of those that never ran.
        assert!(adjustments.tries.get(&1).is_none_or(|tries| *tries <= 1), "{adjustments:?}");
        assert!(adjustments.levels.values().all(|share| (0.1..=1.0).contains(share)));
    }
}

/// Guards against a cold node that gets more than its ramp because a hook gives all other nodes less.
#[test]
fn cold_nodes_get_no_larger_part_when_warm_nodes_get_less() {
    let source =
        "fn shape(view, settings) { let s = #{}; for n in view.nodes { if n.warm { s[n.name] = 0.3; } } s }";
    let (mut hooks, _) = load_one("squeeze", source);
    let (adjustments, _) = hooks.run_round(START, &SharedView::from(fleet(20, 4)));
    for index in 0..20 {
        assert_eq!(adjustments.shares.get(&format!("s-{index}")).copied(), Some(0.3), "s-{index}");
    }
}

/// For a node's share the last hook in order counts, for levels and tries the strictest.
#[test]
fn answers_of_several_hooks_are_combined_in_their_order() {
    let one = "fn shape(v, s) { #{ \"s-0\": 0.5, \"s-1\": 0.5 } }\nfn level(c, v, s) { 0.4 }\nfn tries(c, v, s) { 0 }";
    let two = "fn shape(v, s) { #{ \"s-0\": 1.0 } }\nfn level(c, v, s) { 0.9 }\nfn tries(c, v, s) { 1 }";
    for (first, second, share) in [(1, 2, None), (2, 1, Some(0.5))] {
        let (mut hooks, _) = load_all(vec![config("one", first, one), config("two", second, two)]);
        let (adjustments, _) = hooks.run_round(START, &sample());
        assert_eq!(adjustments.shares.get("s-0").copied(), share);
        assert_eq!(adjustments.shares.get("s-1").copied(), Some(0.5));
        assert_eq!((adjustments.levels[&0], adjustments.tries[&0]), (0.4, 0));
    }
}

/// A hook that changes every node at once, up and down in turn, costs a bounded number of lines: few in each round,
/// and fewer over time as reversals lengthen the hold time.
#[test]
fn changed_lines_are_bounded_and_oscillation_is_damped() {
    let source = "fn shape(view, settings) { let up = if \"up\" in this { this.up } else { false }; this.up = !up; \
                  let s = #{}; for n in view.nodes { s[n.name] = if up { 2.0 } else { 0.5 }; } s }";
    let (mut hooks, reports) = load_one("flutter", source);
    assert!(reports.iter().all(|report| !report.is_fault), "{reports:?}");
    let view = SharedView::from(fleet(400, 0));
    let mut shares: BTreeMap<String, f64> = BTreeMap::new();
    let mut changed_lines: Vec<usize> = Vec::new();
    let mut cut_reports = 0;
    for round in 0..1_200u64 {
        let (adjustments, reports) = hooks.run_round(START + Time::from_ms(500 * round), &view);
        let changes = (0..400).filter(|index| {
            let name = format!("s-{index}");
            let share_in = |shares: &BTreeMap<String, f64>| shares.get(&name).copied().unwrap_or(1.0);
            share_in(&adjustments.shares) != share_in(&shares)
        });
        changed_lines.push(changes.count());
        shares = adjustments.shares;
        cut_reports += reports.iter().filter(|report| report.message.starts_with("cut at ")).count();
    }
    assert!(changed_lines.iter().all(|lines| *lines <= 50), "{changed_lines:?}");
    // Once each reversal is held for 128 s, 400 nodes change hardly more than three lines per second.
    let later_lines: usize = changed_lines[600..].iter().sum();
    assert!(later_lines < 400 * 6, "{later_lines} lines in 300 s");
    assert!((2..=12).contains(&cut_reports), "{cut_reports} reports in 600 s");
    let change_rate_violations = hooks
        .violations
        .iter()
        .filter(|((_, _, rule), _)| *rule == Rule::ChangeRate)
        .map(|(_, count)| *count);
    assert!(change_rate_violations.max().is_some_and(|count| count > 10_000));
}

/// A hook that starts to fail in every call is suspended, each time for longer.
#[test]
fn a_failing_hook_is_suspended_for_longer_each_time() {
    let source = "fn shape(view, settings) { let n = if \"n\" in this { this.n } else { 0 }; this.n = n + 1; \
                  if n >= 1000 { throw \"worn out\"; } #{ \"s-0\": 0.5 } }";
    let (mut hooks, _) = load_one("worn", source);
    let mut now = START;
    for round in 0..1_000 {
        now = now + Time::from_ms(100);
        let (adjustments, reports) = hooks.run_round(now, &sample());
        assert!(reports.is_empty() && adjustments.shares["s-0"] == 0.5, "{round}: {reports:?}");
    }
    let mut reports_at: Vec<(Time, Report)> = Vec::new();
    for _ in 0..600 {
        now = now + Time::from_ms(100);
        let (_, reports) = hooks.run_round(now, &sample());
        reports_at.extend(reports.into_iter().map(|report| (now, report)));
    }
    assert!(reports_at.iter().all(|(_, report)| report.hook == "worn"));
    let suspended_at: Vec<Time> = reports_at
        .iter()
        .filter(|(_, report)| report.message.starts_with("put out"))
        .map(|(at, _)| *at)
        .collect();
    let seconds_between: Vec<u64> =
        suspended_at.windows(2).map(|pair| (pair[1] - pair[0]).0 / 10_000).collect();
    assert!(
        seconds_between.len() >= 4 && seconds_between.windows(2).all(|pair| pair[0] <= pair[1]),
        "{seconds_between:?}"
    );
    assert!(seconds_between[0] <= 2 && *seconds_between.last().expect("some") >= 7, "{seconds_between:?}");
    // The node is back at its own weight, as if there were no hook.
    let (adjustments, _) = hooks.run_round(now, &sample());
    assert!(adjustments.shares.is_empty(), "{adjustments:?}");
}

/// A hook that fails for a while is suspended, tried again, and reinstated.
#[test]
fn a_recovered_hook_is_reinstated() {
    let source = "fn shape(view, settings) { if view.minute == 0 { throw \"midnight\"; } #{ \"s-0\": 0.5 } }";
    let (mut hooks, _) = load_one("midnight", source);
    let midnight = SharedView::from(View { minute_of_day: 0, ..View::sample() });
    let mut messages: Vec<String> = Vec::new();
    for round in 0..40u64 {
        let view = if round < 5 { midnight.clone() } else { sample() };
        let (_, reports) = hooks.run_round(START + Time::from_ms(300 * round), &view);
        messages.extend(reports.into_iter().map(|report| report.message));
    }
    let expected = [
        "failed at midnight.rhai:shape: ",
        "put out for 1.0 s after 3 failures",
        "tried again",
        "taken back",
    ];
    let positions: Vec<Option<usize>> = expected
        .iter()
        .map(|expected| messages.iter().position(|message| message.contains(expected)))
        .collect();
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{messages:?}");
}

/// A store that outgrows its limit is not kept, and the call counts as a failure.
#[test]
fn a_growing_store_is_not_kept() {
    let source = "fn shape(view, settings) { let n = if \"n\" in this { this.n } else { 0 }; this.n = n + 1; \
                  this[\"key\" + n] = \"0123456789012345678901234567890123456789\"; #{} }";
    let (mut hooks, _) = load_one("hoard", source);
    let mut reports = Vec::new();
    for round in 0..400u64 {
        reports.extend(hooks.run_round(START + Time::from_ms(20 * round), &sample()).1);
    }
    assert!(reports.iter().any(|report| report.message.contains("its store has")), "{reports:?}");
    assert!(reports.iter().any(|report| report.message.starts_with("put out")));
}

/// Twenty bad hooks and a good one: a round ends in its time, every bad hook is reported by name, and the good one
/// has its effect.
#[test]
fn twenty_bad_hooks_take_a_bounded_time_and_are_each_reported() {
    let bad_sources = [
        "fn shape(view, settings) { if view.now_ms > 0 && view.minute != 1410 { loop { } } #{} }",
        "fn shape(view, settings) { if view.minute != 1410 { throw \"no\"; } #{} }",
        "fn f(x) { f(x + 1) }\nfn shape(view, settings) { if view.minute != 1410 { f(1); } #{} }",
        "fn shape(view, settings) { if view.minute != 1410 { let a = []; loop { a.push(a); } } #{} }",
    ];
    let mut configs: Vec<HookConfig> = (0..20u32)
        .map(|index| config(&format!("bad-{index}"), index, bad_sources[index as usize % 4]))
        .collect();
    configs.push(config("good", 50, "fn shape(v, s) { #{ \"s-0\": 0.5 } }"));
    let (mut hooks, reports) = load_all(configs);
    assert!(reports.iter().all(|report| !report.is_fault), "they behave on the sample view: {reports:?}");
    let view = SharedView::from(View { minute_of_day: 5, ..View::sample() });
    let mut all_reports: Vec<Report> = Vec::new();
    let mut longest_round = Duration::ZERO;
    let mut effective_rounds = 0;
    for round in 0..40u64 {
        let start = Instant::now();
        let (adjustments, reports) = hooks.run_round(START + Time::from_ms(100 * round), &view);
        longest_round = longest_round.max(start.elapsed());
        effective_rounds += usize::from(adjustments.shares.contains_key("s-0"));
        all_reports.extend(reports);
    }
    assert!(effective_rounds > 20, "the good hook had its effect in {effective_rounds} rounds");
    for index in 0..20 {
        let name = format!("bad-{index}");
        let mut own = all_reports.iter().filter(|report| report.hook == name);
        assert!(own.any(|report| report.message.starts_with("put out")), "{name} was never suspended");
    }
    assert!(longest_round < Duration::from_secs(4), "{longest_round:?}");
}

/// A new version that cannot be loaded leaves the old one and its store; one that can keeps the store; a hook that is
/// no longer configured goes with its store.
#[test]
fn a_replaced_hook_keeps_its_store() {
    let counting = |share: &str| {
        format!(
            "fn shape(v, s) {{ let n = if \"n\" in this {{ this.n }} else {{ 0 }}; this.n = n + 1; #{{ \"s-0\": if n > 2 {{ {share} }} else {{ 1.0 }} }} }}"
        )
    };
    let (mut hooks, _) = load_one("count", &counting("0.5"));
    let mut now = START;
    let mut run_round = |hooks: &mut HookSet| {
        now = now + Time::from_ms(3_000);
        hooks.run_round(now, &sample()).0.shares.get("s-0").copied()
    };
    let reload = |hooks: &mut HookSet, configs| hooks.reload(bounds(), policy(), configs, &sample());
    for _ in 0..4 {
        run_round(&mut hooks);
    }
    assert_eq!(run_round(&mut hooks), Some(0.5));
    let reports = reload(&mut hooks, vec![config("count", 1, "fn shape(v, s) { let x = ; }")]);
    assert!(reports[0].is_fault && reports[0].message.starts_with("count.rhai:1:"), "{reports:?}");
    assert!(reports[0].message.ends_with("; the previous version stays in use"));
    assert_eq!(run_round(&mut hooks), Some(0.5));
    let reports = reload(&mut hooks, vec![config("count", 1, &counting("0.75"))]);
    assert_eq!(reports[0].message, "replaced, at shape");
    assert_eq!(run_round(&mut hooks), Some(0.75), "its store was kept");
    let reports = reload(&mut hooks, Vec::new());
    assert_eq!((reports[0].hook.as_str(), reports[0].is_fault), ("count", false));
    // Its change is undone like any other change: not before the share has stood for its hold time.
    assert!((0..8).any(|_| run_round(&mut hooks).is_none()));
    reload(&mut hooks, vec![config("count", 1, &counting("0.5"))]);
    assert_eq!(run_round(&mut hooks), None, "its store was dropped");
}

#[test]
fn the_same_views_give_the_same_outcome() {
    let source = "fn shape(view, settings) { let s = #{}; for n in view.nodes { s[n.name] = 0.5 + n.lost / 100.0; } s }";
    let run = || {
        let (mut hooks, _) = load_one("same", source);
        let outcome = |round: u64| hooks.run_round(START + Time::from_ms(700 * round), &sample()).0;
        (0..50u64).map(outcome).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn the_example_scripts_load() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/hooks/");
    for (file, settings) in
        [("night", json!({"zone": "b"})), ("slow-start", json!({"kind": 1})), ("priced", json!({}))]
    {
        let source = std::fs::read_to_string(format!("{folder}{file}.rhai")).expect("an example script");
        let loaded = Program::load(&source, limits(), &settings, &sample());
        assert!(loaded.is_ok(), "{file}: {:?}", loaded.err());
    }
}
