//! Reads `<fleet>`, which configures how the endpoints of several sources are merged.

use crate::element::Element;
use crate::fault::FaultKind;
use crate::operator_config::MembershipConfig;

const MAX_TOMBSTONES: u64 = 10_000_000;
const MAX_CHANGES: f64 = 1e6;

pub fn membership(fleet: &Element) -> MembershipConfig {
    let mut config = MembershipConfig {
        max_tombstones: fleet.integer("most-dead", 1, MAX_TOMBSTONES).map(|count| count as usize),
        tombstone_retention: fleet.duration("remember-dead"),
        ..MembershipConfig::default()
    };
    if let Some(pace) = fleet.child("pace") {
        read_pace(&pace, &mut config);
    }
    fleet.report_unknown();
    config
}

fn read_pace(pace: &Element, config: &mut MembershipConfig) {
    config.changes_per_second = pace.positive_number("changes-per-second", MAX_CHANGES);
    config.burst = pace.positive_number("burst", MAX_CHANGES);
    config.batch_interval = pace.duration("gather");
    config.initial_return_delay = pace.duration("hold");
    config.max_return_delay = pace.duration("longest-hold");
    config.stable_after = pace.duration("steady");
    if config.burst.is_some_and(|burst| burst < 1.0) {
        let consequence = "no change could ever be passed on";
        pace.fault(FaultKind::BurstBelowOne { attribute: "burst", consequence });
    }
    if let (Some(initial), Some(max)) = (config.initial_return_delay, config.max_return_delay)
        && initial > max
    {
        pace.fault(FaultKind::ReturnDelaysReversed { initial, max });
    }
    pace.report_unknown();
}
