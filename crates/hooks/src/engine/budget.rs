//! What a call may still take: its deadline, its stack, and the memory that it may hold.
//!
//! Memory is counted where it is allocated, because the engine's own limits look at some kinds of values only: they
//! count neither the keys of maps nor the arguments bound to a function pointer.

use std::alloc::System;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use alloc_metrics::MetricAlloc;

use super::call_stack;

/// Counts what each thread allocates.
#[global_allocator]
static ALLOCATOR: MetricAlloc<System> = MetricAlloc::new(System);

/// Operations between two checks of the deadline. A single one may take a millisecond.
const OPERATIONS_PER_DEADLINE_CHECK: u64 = 16;

/// Which limit a call has exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExceededLimit {
    /// Its time.
    Time,
    /// The memory that it may hold.
    Memory,
    /// The stack that nested values and calls may take.
    Stack,
}

/// The budget of the current call, shared with the engine that runs it. A call allocates on one thread, the one that
/// has started the budget.
#[derive(Clone)]
pub struct CallBudget(Arc<Thresholds>);

struct Thresholds {
    /// When the call must end, in nanoseconds since [`clock_start`].
    deadline: AtomicU64,
    /// Most bytes that the thread may hold during the call, those from before it included.
    max_thread_bytes: AtomicI64,
    /// Address down to which the thread's stack may be used during the call.
    lowest_stack_address: AtomicUsize,
}

impl CallBudget {
    /// Returns a budget without limits.
    pub fn unlimited() -> CallBudget {
        CallBudget(Arc::new(Thresholds {
            deadline: AtomicU64::new(u64::MAX),
            max_thread_bytes: AtomicI64::new(i64::MAX),
            lowest_stack_address: AtomicUsize::new(0),
        }))
    }

    /// Starts a call on the current stack, which may take so long and hold so many bytes more than its thread holds now.
    pub fn start(&self, time_limit: Duration, max_bytes: usize) {
        let deadline = nanoseconds(clock_start().elapsed().saturating_add(time_limit));
        let max_bytes = i64::try_from(max_bytes).unwrap_or(i64::MAX);
        self.0.deadline.store(deadline, Ordering::Relaxed);
        self.0.max_thread_bytes.store(thread_bytes().saturating_add(max_bytes), Ordering::Relaxed);
        self.0.lowest_stack_address.store(call_stack::lowest_address(), Ordering::Relaxed);
    }

    /// Returns the limit that the call has exceeded after so many operations, if any.
    pub fn exceeded(&self, operations: u64) -> Option<ExceededLimit> {
        if self.is_memory_exceeded() {
            return Some(ExceededLimit::Memory);
        }
        if call_stack::current_address() < self.0.lowest_stack_address.load(Ordering::Relaxed) {
            return Some(ExceededLimit::Stack);
        }
        let is_late = operations.is_multiple_of(OPERATIONS_PER_DEADLINE_CHECK) && self.deadline_passed();
        is_late.then_some(ExceededLimit::Time)
    }

    /// Returns whether the call holds more memory than it may.
    pub fn is_memory_exceeded(&self) -> bool {
        thread_bytes() > self.0.max_thread_bytes.load(Ordering::Relaxed)
    }

    fn deadline_passed(&self) -> bool {
        nanoseconds(clock_start().elapsed()) > self.0.deadline.load(Ordering::Relaxed)
    }
}

/// Returns the bytes that this thread has allocated and not freed. Below zero where it has freed what others allocated.
fn thread_bytes() -> i64 {
    alloc_metrics::thread_metrics().allocated_bytes as i64
}

fn clock_start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
