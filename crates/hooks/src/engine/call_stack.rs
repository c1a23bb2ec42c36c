//! The stack on which scripts run. The engine handles nested values by recursion, and limits their size but not their
//! depth, so a stack of the usual size overflows, which ends the process.

/// Stack that a call has at least, in bytes. It is enough for values nested as deep as the longest call can make them:
/// each operation takes time in proportion to the depth that it adds to. Only what is used takes memory.
const CALL_STACK_BYTES: usize = 63 << 20;

/// Size of a new stack, in bytes: a call and what surrounds it.
const NEW_STACK_BYTES: usize = CALL_STACK_BYTES + (1 << 20);

/// Stack that is left to functions that recurse without counting operations, in bytes: those that copy, measure and drop
/// a value, and write it as text where it can't be written otherwise.
const RESERVED_BYTES: usize = 48 << 20;

/// Calls `run` on a stack that is large enough for scripts: the current one if it is, else a new one.
pub fn with_call_stack<T>(run: impl FnOnce() -> T) -> T {
    stacker::maybe_grow(CALL_STACK_BYTES, NEW_STACK_BYTES, run)
}

/// Returns the address down to which operations may use the current stack; 0 where its size is not known.
pub fn lowest_address() -> usize {
    let Some(remaining_bytes) = stacker::remaining_stack() else {
        return 0;
    };
    current_address().saturating_sub(remaining_bytes.saturating_sub(RESERVED_BYTES))
}

/// Returns the address that the stack has come down to.
pub fn current_address() -> usize {
    let local = 0u8;
    std::ptr::from_ref(&local).addr()
}
