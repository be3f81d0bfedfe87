//! Scores of controllers for endpoints. No function here may change: controllers of different versions must agree on which
//! controller steers which endpoint, so changing any constant changes the protocol.

/// The odd number closest to 2^64 divided by the golden ratio. Its multiples are spread evenly.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// The offset basis of FNV-1a for 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of FNV-1a for 64 bits.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The finalizer of SplitMix64. It is a bijection, so different numbers never collide.
pub const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns the FNV-1a hash of the bytes of an endpoint's name, finalized by [`mix`].
pub fn name_hash(name: &str) -> u64 {
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(name.bytes().fold(FNV_OFFSET, add))
}

/// Returns the seed of a controller's scores, derived from its index.
pub const fn controller_seed(controller: usize) -> u64 {
    mix(GOLDEN_RATIO.wrapping_mul(controller as u64 + 1))
}

/// Returns the score of a controller for an endpoint. Lower is better. Two controllers never have the same score for one
/// endpoint.
pub const fn score(name_hash: u64, controller_seed: u64) -> u64 {
    mix(name_hash ^ controller_seed)
}

/// A controller's rank among all controllers for one endpoint. Orders the endpoints of one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    /// The number of controllers with a better score.
    pub rank: u32,
    /// The controller's own score, which orders endpoints of the same rank.
    pub score: u64,
}

/// Ranks one controller among all controllers.
#[derive(Debug)]
pub struct Ranking {
    own_seed: u64,
    seeds: Vec<u64>,
}

impl Ranking {
    /// Creates the ranking of the controller with the index `controller`, from 0, among `controllers` controllers.
    pub fn new(controller: usize, controllers: usize) -> Ranking {
        Ranking {
            own_seed: controller_seed(controller),
            seeds: (0..controllers).map(controller_seed).collect(),
        }
    }

    /// Returns the controller's rank and score for the endpoint `name`. Computes one score for each controller.
    pub fn preference(&self, name: &str) -> Preference {
        let hash = name_hash(name);
        let own_score = score(hash, self.own_seed);
        let better = self.seeds.iter().filter(|seed| score(hash, **seed) < own_score);
        Preference { rank: better.count() as u32, score: own_score }
    }
}
