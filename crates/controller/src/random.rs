//! Random number streams of the tasks, all derived from the configuration's seed.

use dahliaroad_membership::SourceId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of the first source's stream. It is above the stream numbers of all other tasks.
const FIRST_SOURCE_STREAM: u64 = 100;

/// The tasks that draw random numbers. Each task has its own stream, so that the draws of one task do not shift those of
/// another. Within a task, streams are not separate: the two backoffs of the dispatcher, of the watch stream and of the
/// watch of discovery each start from a copy of their task's stream, and so draw the same numbers.
#[derive(Clone, Copy)]
pub enum RandomStream {
    /// Backoff of commit calls.
    RelayCalls,
    /// Backoff of the watch stream.
    RelayWatch,
    /// Backoff of the watch of discovery.
    Discovery,
    /// The initial call stamp.
    CallStamps,
    /// Backoff while the listen address is in use.
    Listen,
    /// Backoff of the follower of one of the operator's sources.
    Source(SourceId),
}

impl RandomStream {
    fn number(self) -> u64 {
        match self {
            RandomStream::RelayCalls => 1,
            RandomStream::RelayWatch => 2,
            RandomStream::Discovery => 3,
            RandomStream::CallStamps => 4,
            RandomStream::Listen => 5,
            RandomStream::Source(source) => FIRST_SOURCE_STREAM + u64::from(source.0),
        }
    }
}

/// The seed of all random number streams.
#[derive(Clone, Copy, Debug)]
pub struct RandomSeed(pub u64);

impl RandomSeed {
    /// Returns a task's stream, positioned at its beginning.
    pub fn stream(self, stream: RandomStream) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.0);
        random.set_stream(stream.number());
        random
    }
}
