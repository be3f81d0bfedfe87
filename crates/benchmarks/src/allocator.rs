//! A global allocator that counts the bytes of heap that the process holds, and their peak.
//!
//! The counts are of requested sizes, without the overhead of the system allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with a byte count, for use with `#[global_allocator]`.
pub struct CountingAllocator;

/// Returns the bytes of heap that are allocated now.
pub fn allocated_bytes() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}

/// Returns the most bytes of heap allocated at once since the start, or since [`reset_peak`].
pub fn peak_bytes() -> usize {
    PEAK.load(Ordering::Relaxed)
}

/// Resets the peak to the bytes that are allocated now.
pub fn reset_peak() {
    PEAK.store(allocated_bytes(), Ordering::Relaxed);
}

fn record_allocated(bytes: usize) {
    let allocated = ALLOCATED.fetch_add(bytes, Ordering::Relaxed) + bytes;
    // The plain load avoids most of the exchanges: it is cheaper, and most allocations set no new peak.
    if allocated > PEAK.load(Ordering::Relaxed) {
        PEAK.fetch_max(allocated, Ordering::Relaxed);
    }
}

fn record_freed(bytes: usize) {
    ALLOCATED.fetch_sub(bytes, Ordering::Relaxed);
}

// SAFETY: each call is passed to `System` unchanged, which keeps the trait's contract. Counting neither accesses
// memory that is allocated here nor allocates any itself.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let memory = unsafe { System.alloc(layout) };
        if !memory.is_null() {
            record_allocated(layout.size());
        }
        memory
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        let memory = unsafe { System.alloc_zeroed(layout) };
        if !memory.is_null() {
            record_allocated(layout.size());
        }
        memory
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        unsafe { System.dealloc(memory, layout) };
        record_freed(layout.size());
    }

    unsafe fn realloc(&self, memory: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        let moved = unsafe { System.realloc(memory, layout, new_size) };
        if !moved.is_null() {
            // Both blocks are allocated while the content moves, so both count towards the peak. The system may
            // instead have grown the block in place.
            record_allocated(new_size);
            record_freed(layout.size());
        }
        moved
    }
}
