//! The number of controllers that fit into the memory that a run may use, estimated before memory is allocated.

use dahliaroad_subset::SUBSET_SIZE;

use super::settings::{InvalidSetting, Settings};
use super::sizes::Service;

/// Bytes of a controller for each listed endpoint: in the membership, the subset and the model around the controller.
const PER_LISTED_ENDPOINT: u64 = 800;
/// Bytes of a controller for each endpoint of its subset, in the decision module and the table of ids.
const PER_SUBSET_ENDPOINT: u64 = 500;
/// Bytes of a controller for each endpoint of its subset and each zone: the statistics of the zone's proxies, and the
/// zone's shares.
const PER_SUBSET_ENDPOINT_AND_ZONE: u64 = 56 + 64;
/// Bytes of a controller for each weight entry of a table.
const PER_WEIGHT_ENTRY: u64 = 16;
/// Bytes of a controller for each of its proxies.
const PER_PROXY: u64 = 1500;
/// The limits by which the decision module makes table shards: the entries a second that all proxies of a controller
/// may receive, the cost of a message in entries, and the fewest proxies of a shard.
const ENTRIES_PER_SECOND: f64 = 10_000.0 / 3.0;
const ENTRIES_PER_MESSAGE: f64 = 6.0;
const MIN_SHARD_PROXIES: f64 = 5.0;

/// Returns the number of endpoints of a service that a controller's decision module knows: its subset, and a quarter
/// more for endpoints that enter and leave the subset.
fn subset_size(service: &Service) -> usize {
    service.endpoints.min(SUBSET_SIZE + SUBSET_SIZE / 4)
}

/// Returns the estimated bytes of one controller of a service.
fn controller_bytes(settings: &Settings, service: &Service) -> u64 {
    let listed = service.endpoints as u64;
    let subset = subset_size(service) as u64;
    let zones = service.zones.len() as u64;
    let proxies = settings.proxies_per_controller as u64;
    let per_subset_endpoint = PER_SUBSET_ENDPOINT + zones * PER_SUBSET_ENDPOINT_AND_ZONE;
    let weight_entries = subset * zones * table_shards(settings, service);
    listed * PER_LISTED_ENDPOINT
        + subset * per_subset_endpoint
        + weight_entries * PER_WEIGHT_ENTRY
        + proxies * PER_PROXY
}

/// Returns approximately the number of table shards of each zone that the decision module makes.
fn table_shards(settings: &Settings, service: &Service) -> u64 {
    let proxies = (service.controllers * settings.proxies_per_controller) as f64;
    let proxies_in_zone = proxies / service.controllers.max(service.zones.len()) as f64;
    let entries_per_proxy = ENTRIES_PER_SECOND / settings.proxies_per_controller as f64;
    let table_size = (entries_per_proxy - ENTRIES_PER_MESSAGE).max(1.0);
    let needed = (subset_size(service) as f64 / table_size).ceil();
    let most = (proxies_in_zone / MIN_SHARD_PROXIES).max(1.0);
    needed.min(most).max(1.0) as u64
}

/// Reduces the controllers that are run of each service to the number that fits into memory, as `threads` services
/// run at a time.
///
/// # Errors
///
/// Fails with [`InvalidSetting::OutOfMemory`] for a service of which no controller fits.
pub fn limit_controllers(
    settings: &Settings,
    services: &mut [Service],
    budget_bytes: u64,
) -> Result<(), InvalidSetting> {
    let limit = budget_bytes / settings.threads as u64;
    for service in services {
        let needed = controller_bytes(settings, service);
        let fitting = (limit / needed) as usize;
        if fitting == 0 {
            return Err(InvalidSetting::OutOfMemory {
                endpoints: service.endpoints,
                zones: service.zones.len(),
                needed_mb: needed >> 20,
                threads: settings.threads,
                limit_mb: limit >> 20,
            });
        }
        service.controllers_run = service.controllers_run.min(fitting);
    }
    Ok(())
}
