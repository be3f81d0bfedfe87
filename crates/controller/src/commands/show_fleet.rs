//! `dahliaroad fleet`: follows the operator's sources as a controller would, and prints the endpoint list.

use std::cell::RefCell;
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_config::OperatorConfig;
use dahliaroad_membership::{Change, Entry, Membership, Topology};
use dahliaroad_runtime::Clock;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{REJECTED_EXIT_CODE, print_error, print_line};
use crate::arguments::Arguments;
use crate::executor::run_on_one_thread;
use crate::operator_file;
use crate::sources::{FollowContext, SourceError, SourceFollower, Sources, tombstone_limits};
use crate::startup::StartupConfiguration;

/// The time without a change after which the list counts as complete.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// The interval between checks for changes of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The source timeout if the number of seconds on the command line is not a valid duration.
const DEFAULT_SOURCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the fleet could not be shown.
#[derive(Debug, thiserror::Error)]
enum FleetError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Source(#[from] SourceError),
    #[error("the operator's file names no registry and no zone file")]
    NoSource,
    #[error("no source delivered a list within {0:?}")]
    NoListReceived(Duration),
}

/// The options of the command.
struct FleetOptions {
    /// Continue to run, and print each change.
    follow: bool,
    /// Print one JSON object per line.
    json: bool,
    /// The maximum time to wait for the first lists of the sources.
    source_timeout: Duration,
}

/// Prints the fleet that the operator's sources list.
pub fn show_fleet(arguments: &Arguments, follow: bool, json: bool, within: f64) -> ExitCode {
    if arguments.options.is_none() {
        return reject(&["no operator's file: give one by --options or DAHLIAROAD_OPTIONS".to_owned()]);
    }
    let config = match operator_file::read(arguments.options.as_deref()) {
        Ok(config) => config,
        Err(error) => return reject(&error.lines()),
    };
    let startup = match StartupConfiguration::read(arguments.config.as_deref()) {
        Ok(startup) => startup,
        Err(error) => return reject(&[format!("configuration: {error}")]),
    };
    let source_timeout = Duration::try_from_secs_f64(within).unwrap_or(DEFAULT_SOURCE_TIMEOUT);
    let fleet_options = FleetOptions { follow, json, source_timeout };
    match run_on_one_thread(follow_fleet(&config, &startup, fleet_options)) {
        Ok(()) => ExitCode::SUCCESS,
        // A reader that closes the output has read enough.
        Err(FleetError::Io(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            print_error(format_args!("dahliaroad: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Prints the lines to standard error and returns the exit code for rejected input.
fn reject(lines: &[String]) -> ExitCode {
    lines.iter().for_each(|line| print_error(format_args!("dahliaroad: {line}")));
    ExitCode::from(REJECTED_EXIT_CODE)
}

async fn follow_fleet(
    config: &OperatorConfig,
    startup: &StartupConfiguration,
    fleet_options: FleetOptions,
) -> Result<(), FleetError> {
    let topology = Topology { zones: startup.settings.zones.clone(), kinds: startup.settings.kinds.clone() };
    let mut membership = Membership::new(tombstone_limits(&config.membership));
    // The members' addresses are kept until the end, because the followers read them repeatedly.
    let Sources { followers, members: _members } = Sources::add(config, &mut membership)?;
    if followers.is_empty() {
        return Err(FleetError::NoSource);
    }
    let membership = Rc::new(RefCell::new(membership));
    let context =
        FollowContext { random: startup.random, topology: topology.clone(), statistics: Rc::default() };
    let clock = Clock::start();
    let source_count = followers.len();
    for follower in followers {
        start_follower(follower, context.clone(), membership.clone(), clock);
    }
    show_changes(&membership, source_count, &topology, &fleet_options, clock).await?;
    for state in membership.borrow().source_states().iter().filter(|state| state.position.is_none()) {
        let within = fleet_options.source_timeout;
        print_error(format_args!(
            "dahliaroad: {} delivered no list within {within:?}; its endpoints are not shown",
            state.name
        ));
    }
    Ok(())
}

fn start_follower(
    follower: SourceFollower,
    context: FollowContext,
    membership: Rc<RefCell<Membership>>,
    clock: Clock,
) {
    let source = follower.source();
    let report = async move |message| membership.borrow_mut().apply(clock.now(), source, message).freshness;
    tokio::task::spawn_local(follower.follow(context, report));
}

/// Prints changes as they arrive. Without `follow`, returns when the list has not changed for [`QUIET_PERIOD`].
async fn show_changes(
    membership: &RefCell<Membership>,
    source_count: usize,
    topology: &Topology,
    fleet_options: &FleetOptions,
    clock: Clock,
) -> Result<(), FleetError> {
    let mut has_printed = false;
    let mut quiet_since = Instant::now();
    loop {
        sleep(POLL_INTERVAL).await;
        let delivered_count =
            membership.borrow().source_states().iter().filter(|state| state.position.is_some()).count();
        if delivered_count < source_count && clock.elapsed() < fleet_options.source_timeout && !has_printed {
            quiet_since = Instant::now();
            continue;
        }
        if delivered_count == 0 && !fleet_options.follow {
            return Err(FleetError::NoListReceived(fleet_options.source_timeout));
        }
        if let Some(changes) = membership.borrow_mut().take_changes(clock.now()) {
            let mut changes = changes.entries.iter();
            changes
                .try_for_each(|change| print_line(describe_change(change, topology, fleet_options.json)))?;
            has_printed = true;
            quiet_since = Instant::now();
        }
        if !fleet_options.follow && quiet_since.elapsed() >= QUIET_PERIOD {
            return Ok(());
        }
    }
}

fn describe_change(change: &Change, topology: &Topology, json: bool) -> String {
    let name = &change.name;
    if json {
        return json_object(name, change.entry.as_ref(), topology).to_string();
    }
    let Some(entry) = &change.entry else { return format!("{name:24} gone") };
    let state = entry.serving_state.as_str();
    let address = entry.address.map_or("-".to_owned(), |address| address.to_string());
    let zone = topology.zones.get(entry.zone.0 as usize).map_or("?", String::as_str);
    format!("{name:24} {state:9} {address:21} {zone} weight {}", entry.weight)
}

fn json_object(name: &str, entry: Option<&Entry>, topology: &Topology) -> Value {
    let Some(entry) = entry else { return json!({"name": name, "standing": "gone"}) };
    json!({
        "name": name,
        "standing": entry.serving_state.as_str(),
        "address": entry.address.map(|address| address.to_string()),
        "zone": topology.zones.get(entry.zone.0 as usize),
        "kind": topology.kinds.get(entry.kind as usize),
        "weight": entry.weight,
        "started_ms": entry.incarnation.started.map(|at| at.as_millis() as u64),
        "created": entry.incarnation.created.0,
    })
}
