//! Processor time of the measuring thread, without the time during which it waits for a core.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time that this thread has used.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Runs `work`, and adds its processor time to `sum`.
pub fn timed<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let begin = thread_time();
    let result = work();
    *sum += thread_time() - begin;
    result
}
