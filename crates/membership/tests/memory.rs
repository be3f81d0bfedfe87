//! Memory use per entry, measured with a counting allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::{Duration, Instant};

use dahliaroad::ZoneId;
use dahliaroad_membership::*;

/// The system allocator with counters of the current thread's allocated bytes and their peak.
struct CountingAllocator;

thread_local! {
    static IN_USE: Cell<isize> = const { Cell::new(0) };
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

fn count(change: isize) {
    let in_use = IN_USE.get() + change;
    IN_USE.set(in_use);
    PEAK.set(PEAK.get().max(in_use));
}

// Safety: every call is passed unchanged to the system allocator, and the counters allocate nothing.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const NOW: Duration = Duration::from_secs(1);
/// The limit of memory per stored entry. Its name and fields take about 150 bytes.
const MAX_STORED_BYTES: f64 = 350.0;
/// The limit of memory per entry while its list is applied: in the message, in the membership and in the published changes.
const MAX_PEAK_BYTES: f64 = 600.0;

fn entry(index: usize) -> Entry {
    let incarnation =
        Incarnation { started: Some(Duration::from_secs(1 + index as u64)), created: Revision(0) };
    let address = Some(([10, 1, (index >> 8) as u8, index as u8], 9000).into());
    Entry {
        incarnation,
        cold_since: None,
        address,
        zone: ZoneId(index as u32 % 3),
        kind: 0,
        weight: 1.0,
        serving_state: ServingState::Running,
    }
}

fn update(index: usize, revision: u64) -> EntryUpdate {
    let name = format!("s-{:08x}", (index as u32).wrapping_mul(0x9e37_79b1)).into();
    EntryUpdate { name, revision: Revision(revision), state: EntryState::Listed(entry(index)) }
}

fn snapshot(count: usize, revision: u64) -> SourceMessage {
    let entries = (0..count).map(|index| update(index, revision)).collect();
    SourceMessage::Snapshot { epoch: Epoch(1), revision: Revision(revision), entries }
}

fn change(index: usize, revision: u64) -> SourceMessage {
    SourceMessage::Changes {
        epoch: Epoch(1),
        after: Revision(revision),
        revision: Revision(revision),
        entries: vec![update(index, revision)],
    }
}

/// Memory per entry in bytes.
#[derive(Debug)]
struct BytesPerEntry {
    stored: f64,
    peak: f64,
}

/// Measures the memory per entry for applying one list of `count` entries.
fn bytes_per_entry(count: usize, settings: SourceSettings) -> BytesPerEntry {
    let mut membership = Membership::new(TombstoneLimits::default());
    let source = membership.add_source(settings);
    let before = IN_USE.get();
    PEAK.set(before);
    let published =
        membership.apply(NOW, source, snapshot(count, 1)).changes.or_else(|| membership.take_changes(NOW));
    assert_eq!(published.expect("a complete list is published").entries.len(), count);
    let per_entry = |bytes: isize| (bytes - before) as f64 / count as f64;
    BytesPerEntry { stored: per_entry(IN_USE.get()), peak: per_entry(PEAK.get()) }
}

/// A controller keeps the entries of the whole service. If the memory per entry grew, so would the memory of each
/// controller, in proportion to the largest list.
#[test]
fn memory_per_entry_is_bounded_when_stored_and_while_a_list_is_applied() {
    for count in [10_000, 22_500] {
        let direct = bytes_per_entry(count, SourceSettings::direct("discovery"));
        let paced = bytes_per_entry(count, SourceSettings::new("registry"));
        println!("{count} entries, bytes per entry stored and at peak: direct {direct:?}, paced {paced:?}");
        for BytesPerEntry { stored, peak } in [direct, paced] {
            assert!(stored < MAX_STORED_BYTES, "{stored:.0} stored bytes per entry of {count}");
            assert!(peak < MAX_PEAK_BYTES, "{peak:.0} bytes per entry of {count} at peak");
        }
    }
}

/// Each snapshot has other names than the one before. If records of old names were kept, they would accumulate.
#[test]
fn snapshots_with_new_names_leave_no_records_of_old_names() {
    let mut membership = Membership::new(TombstoneLimits::default());
    let source = membership.add_source(SourceSettings::direct("discovery"));
    for revision in 1..=5 {
        let entries = (0..10).map(|index| update(index + 10 * revision as usize, revision)).collect();
        let message = SourceMessage::Snapshot { epoch: Epoch(1), revision: Revision(revision), entries };
        assert_eq!(
            membership
                .apply(NOW, source, message)
                .changes
                .expect("the message of a direct source is published at once")
                .entries
                .len(),
            10
        );
        assert_eq!((membership.name_count(), membership.source_states()[0].listed), (10, 10));
    }
}

/// Measures processor time: `cargo test --release -p dahliaroad-membership --test memory -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement of time, not a check"]
fn processor_time_of_lists_and_changes() {
    const CHANGES: usize = 10_000;
    for count in [10_000, 22_500, 45_000] {
        let mut membership = Membership::new(TombstoneLimits::default());
        let source = membership.add_source(SourceSettings::direct("discovery"));
        let mut times = Vec::new();
        for revision in 1..=3 {
            let message = snapshot(count, revision);
            let begin = Instant::now();
            membership.apply(NOW, source, message);
            times.push(begin.elapsed());
        }
        let messages: Vec<SourceMessage> =
            (0..CHANGES).map(|index| change(index * 7 % count, 4 + index as u64)).collect();
        let begin = Instant::now();
        for message in messages {
            membership.apply(NOW, source, message);
        }
        let time_per_change = begin.elapsed() / CHANGES as u32;
        println!("{count} entries: snapshots {times:?}, one change {time_per_change:?}");
    }
}
