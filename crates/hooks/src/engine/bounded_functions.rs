//! Library functions whose result can be many times as large as their arguments. The engine looks at sizes only after a
//! function has returned, so these replace its own versions and stop before the call's memory is exceeded.

use rhai::{Array, Dynamic, Engine, EvalAltResult, ImmutableString, NativeCallContext, Position};

use super::budget::{CallBudget, ExceededLimit};

type Outcome = Result<(), Box<EvalAltResult>>;

/// Registers the functions with an engine, in place of those of its packages.
pub fn register(engine: &mut Engine, budget: &CallBudget) {
    register_pad(engine, budget);
    register_replace(engine);
}

/// `array.pad(len, item)` appends copies of the item until the array has so many elements.
fn register_pad(engine: &mut Engine, budget: &CallBudget) {
    let budget = budget.clone();
    let pad = move |context: NativeCallContext, array: &mut Array, length: i64, item: Dynamic| -> Outcome {
        let length = usize::try_from(length).unwrap_or(0);
        if length > context.engine().max_array_size() {
            return Err(too_large("Size of array/BLOB"));
        }
        while array.len() < length {
            array.push(item.clone());
            if budget.is_memory_exceeded() {
                return Err(terminated(ExceededLimit::Memory));
            }
        }
        Ok(())
    };
    engine.register_fn("pad", pad);
}

/// `text.replace(find, substitute)`, where both may be a text or a character.
fn register_replace(engine: &mut Engine) {
    engine.register_fn(
        "replace",
        |context: NativeCallContext, text: &mut ImmutableString, find: &str, substitute: &str| {
            replace(&context, text, find, substitute)
        },
    );
    engine.register_fn(
        "replace",
        |context: NativeCallContext, text: &mut ImmutableString, find: &str, substitute: char| {
            replace(&context, text, find, &String::from(substitute))
        },
    );
    engine.register_fn(
        "replace",
        |context: NativeCallContext, text: &mut ImmutableString, find: char, substitute: &str| {
            replace(&context, text, &String::from(find), substitute)
        },
    );
    engine.register_fn(
        "replace",
        |context: NativeCallContext, text: &mut ImmutableString, find: char, substitute: char| {
            replace(&context, text, &String::from(find), &String::from(substitute))
        },
    );
}

fn replace(context: &NativeCallContext, text: &mut ImmutableString, find: &str, substitute: &str) -> Outcome {
    if text.is_empty() {
        return Ok(());
    }
    let matches = text.matches(find).count();
    let removed_bytes = matches * find.len();
    let added_bytes = matches.saturating_mul(substitute.len());
    if (text.len() - removed_bytes).saturating_add(added_bytes) > context.engine().max_string_size() {
        return Err(too_large("Length of string"));
    }
    *text = text.replace(find, substitute).into();
    Ok(())
}

fn too_large(what: &str) -> Box<EvalAltResult> {
    EvalAltResult::ErrorDataTooLarge(what.into(), Position::NONE).into()
}

fn terminated(limit: ExceededLimit) -> Box<EvalAltResult> {
    EvalAltResult::ErrorTerminated(Dynamic::from(limit), Position::NONE).into()
}
