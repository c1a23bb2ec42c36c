//! Hooks that take memory without end: each is stopped before the process holds as much as the platform allows. This is
//! the only test of its process, because the peak is that of all threads together.

use std::time::Duration;

use oatpitch_hooks::core::view::View;
use oatpitch_hooks::engine::{Limits, Program, SharedView};
use serde_json::Value;

/// `limits.memory_mb` where the configuration does not say otherwise, in KiB. The platform kills a conductor beyond it.
const PLATFORM_LIMIT_KIB: u64 = 192 << 10;

/// What one call may take where the operator's file does not say otherwise.
const DEFAULT_LIMITS: Limits =
    Limits { max_operations: 200_000, time_limit: Duration::from_millis(20), max_memory_bytes: 256 << 10 };

/// The most that the operator's file accepts.
const LARGEST_LIMITS: Limits =
    Limits { max_operations: 10_000_000, time_limit: Duration::from_secs(1), max_memory_bytes: 16 << 20 };

/// A function of scripts that returns a text nearly as long as a value may be: it doubles until the next time would fail.
const LONG_TEXT: &str =
    "fn long(bytes) { let s = \"aaaaaaaaaaaaaaaa\"; while s.len * 2 < bytes { s += s; } s }\n";

/// The longest text that the scripts try, in bytes, where values may be larger.
const LONGEST_TEXT: usize = 1 << 20;

/// What each script does without end, and its source, in which `BYTES` stands for the size of a value and `TEXT` for that of
/// a text.
const SCRIPTS: [(&str, &str); 19] = [
    ("binds a function pointer to itself", "let p = Fn(\"shape\"); loop { p = p.curry(p); }"),
    ("binds in the style of a function", "let p = Fn(\"shape\"); loop { p = curry(p, p); }"),
    (
        "binds by a pointer to the function",
        "let p = Fn(\"shape\"); let c = Fn(\"curry\"); loop { p = c.call(p, p); }",
    ),
    ("nests bound arguments", "let f = Fn(\"shape\"); let a = [f]; loop { a.push(f.curry(a.pop())); }"),
    ("doubles long keys", "let m = #{}; m[long(TEXT)] = 1; let a = [m]; loop { a += a; }"),
    ("stores long keys", "let m = #{}; m[long(TEXT)] = 1; this.a = [m]; loop { this.a = [this.a, this.a]; }"),
    ("copies a long key by pad", "let m = #{}; m[long(TEXT)] = 1; let a = []; a.pad(4000, m); a.len"),
    ("pads a nested list", "let a = [[1, 2, 3]]; loop { let b = []; b.pad(8000, a); a = b; }"),
    ("replaces a letter by a long text", "let s = long(TEXT); s.replace(\"a\", s); s.len"),
    ("replaces a character by a long text", "let s = long(TEXT); s.replace('a', s); s.len"),
    ("splits a long text", "let s = long(TEXT); let a = s.split(\"a\"); a.len"),
    (
        "splits a long text into characters",
        "let s = long(TEXT); let a = s.to_chars(); let b = s.split_rev('a'); a.len",
    ),
    (
        "writes long keys as text",
        "let m = #{}; m[long(TEXT)] = 1; let a = [m, m, m, m]; let s = \"\" + a + a; s.to_debug()",
    ),
    ("holds many texts", "rest(20, long(TEXT))"),
    ("holds many lists", "let a = []; a.pad(BYTES / 40, Fn(\"shape\")); rest(20, a)"),
    ("nests lists", "let a = [[]]; loop { a.push([a.pop()]); }"),
    ("nests maps", "let a = [#{}]; loop { a.push(#{ a: a.pop() }); }"),
    ("writes nested lists as text", "let a = nest(); a.to_string(); a.len"),
    ("compares nested lists", "let a = nest(); let b = a; a == b; a.len"),
];

/// A function of scripts that holds copies of a value and of what comes of adding to it, as deep as calls may be nested.
fn holding_function() -> String {
    let values: String = (0..60).map(|index| format!("let v{index} = a; v{index} += \"b\"; ")).collect();
    format!("fn rest(n, a) {{ {values} if n > 0 {{ rest(n - 1, a) }} }}\n")
}

/// A function of scripts that nests a list, deeper where values may be larger, as calls may take longer then.
const NESTING_FUNCTION: &str = "fn nest() { let a = [[]]; let n = 0; \
    while n < 150 + BYTES / 10000 { a.push([[[[a.pop()]]]]); n += 1; } a }\n";

/// Returns the largest resident size of this process so far, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Guards against a hook that makes the platform kill the conductor: values that the engine does not count doubled with
/// each operation, and library functions multiplied their arguments within a single one.
#[test]
fn no_hook_takes_the_memory_of_the_conductor() {
    let sample = SharedView::from(View::sample());
    for limits in [DEFAULT_LIMITS, LARGEST_LIMITS] {
        for (what, body) in SCRIPTS {
            let text_bytes = limits.max_memory_bytes.min(LONGEST_TEXT);
            let script = format!(
                "{LONG_TEXT}{NESTING_FUNCTION}{}fn shape(view, settings) {{ {body} }}",
                holding_function()
            );
            let source = script
                .replace("BYTES", &limits.max_memory_bytes.to_string())
                .replace("TEXT", &text_bytes.to_string());
            let loaded = Program::load(&source, limits.clone(), &Value::Null, &sample);
            let outcome = loaded.err().map_or("loaded".to_string(), |error| error.to_string());
            let peak = peak_kib();
            println!("{what}, {} bytes a value: {outcome}; {peak} KiB at most", limits.max_memory_bytes);
            assert!(peak < PLATFORM_LIMIT_KIB, "{what}: {peak} KiB; {outcome}");
        }
    }
}
