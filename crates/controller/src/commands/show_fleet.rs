//! `dahliaroad fleet`: the operator's sources followed as a controller would, and the endpoint list printed.

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

/// How long the list has to stay as it is before it counts as read.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Where the command line's time is none.
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
    #[error("no source told anything within {0:?}")]
    NothingHeard(Duration),
}

/// How to show the fleet.
struct FleetView {
    /// Go on, and print each change.
    follow: bool,
    /// A JSON object a line.
    json: bool,
    /// How long sources have to send their first list.
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
    let view = FleetView { follow, json, source_timeout };
    match run_on_one_thread(follow_fleet(&config, &startup, view)) {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever ended the output has read enough.
        Err(FleetError::Io(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            print_error(format_args!("dahliaroad: {error}"));
            ExitCode::FAILURE
        }
    }
}

fn reject(lines: &[String]) -> ExitCode {
    lines.iter().for_each(|line| print_error(format_args!("dahliaroad: {line}")));
    ExitCode::from(REJECTED_EXIT_CODE)
}

async fn follow_fleet(
    config: &OperatorConfig,
    startup: &StartupConfiguration,
    view: FleetView,
) -> Result<(), FleetError> {
    let topology = Topology { zones: startup.settings.zones.clone(), kinds: startup.settings.kinds.clone() };
    let mut membership = Membership::new(tombstone_limits(&config.membership));
    // The members' addresses are kept to the end: followers ask for them again and again.
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
    show_changes(&membership, source_count, &topology, &view, clock).await?;
    for state in membership.borrow().source_states().iter().filter(|state| state.position.is_none()) {
        let within = view.source_timeout;
        print_error(format_args!(
            "dahliaroad: {} told nothing within {within:?}: its endpoints are not shown",
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

/// Prints changes as they come; without `follow`, until the list has been quiet for a while.
async fn show_changes(
    membership: &RefCell<Membership>,
    source_count: usize,
    topology: &Topology,
    view: &FleetView,
    clock: Clock,
) -> Result<(), FleetError> {
    let mut has_shown = false;
    let mut quiet_since = Instant::now();
    loop {
        sleep(POLL_INTERVAL).await;
        let heard =
            membership.borrow().source_states().iter().filter(|state| state.position.is_some()).count();
        if heard < source_count && clock.elapsed() < view.source_timeout && !has_shown {
            quiet_since = Instant::now();
            continue;
        }
        if heard == 0 && !view.follow {
            return Err(FleetError::NothingHeard(view.source_timeout));
        }
        if let Some(changes) = membership.borrow_mut().take_changes(clock.now()) {
            let mut changes = changes.entries.iter();
            changes.try_for_each(|change| print_line(describe_change(change, topology, view.json)))?;
            has_shown = true;
            quiet_since = Instant::now();
        }
        if !view.follow && quiet_since.elapsed() >= QUIET_PERIOD {
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
