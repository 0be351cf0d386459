//! Counts the bytes that the current thread has allocated and not freed.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static LIVE_BYTES: Cell<isize> = const { Cell::new(0) };
    static PEAK_BYTES: Cell<isize> = const { Cell::new(0) };
}

/// The allocator of the system, with a count for each thread.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: all requests are passed on to the allocator of the system.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

fn count(bytes: isize) {
    let live_bytes = LIVE_BYTES.get() + bytes;
    LIVE_BYTES.set(live_bytes);
    PEAK_BYTES.set(PEAK_BYTES.get().max(live_bytes));
}

/// Memory that an action used, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemoryUse {
    /// Memory that is still allocated after the action, beyond what was allocated before it.
    pub kept: usize,
    /// Largest amount that was allocated at a time during the action, beyond what was allocated before it.
    pub peak: usize,
}

/// Runs the action on this thread and returns its result and the memory that it used.
pub fn measure<T>(action: impl FnOnce() -> T) -> (T, MemoryUse) {
    let before = LIVE_BYTES.get();
    PEAK_BYTES.set(before);
    let result = action();
    let beyond = |bytes: isize| usize::try_from(bytes - before).unwrap_or(0);
    let used = MemoryUse { kept: beyond(LIVE_BYTES.get()), peak: beyond(PEAK_BYTES.get()) };
    (result, used)
}
