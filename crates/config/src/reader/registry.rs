//! Reads `<registry>`, which configures a registry as a source of endpoints.

use crate::element::Element;
use crate::fault::FaultKind;
use crate::operator_config::{Protocol, RegistryConfig, RegistryLimits};

const MAX_MEMBERS: usize = 32;
const MAX_PAGE_SIZE: u64 = 16_384;
const MAX_SNAPSHOT_BURST: f64 = 10_000.0;
const MAX_SNAPSHOTS_PER_MINUTE: f64 = 60_000.0;
const MAX_ENTRIES: u64 = 10_000_000;

const PROTOCOLS: [(&str, Protocol); 2] =
    [("watch", Protocol::Watch), ("blocking-read", Protocol::BlockingRead)];

/// The valid form of a member's address, for messages.
const ADDRESS: &str = "a host and a port, such as 10.0.0.1:2379";

pub fn registry(element: &Element) -> Option<RegistryConfig> {
    let name = element.required("name", "a unique name");
    let protocol = protocol(element);
    let prefix = element.attribute("prefix").map(str::to_owned);
    let services: Vec<String> = element.children("service").iter().filter_map(service).collect();
    let members = members(element);
    match protocol {
        Some(Protocol::Watch) => check_watch(element, prefix.as_deref(), &services),
        Some(Protocol::BlockingRead) => check_blocking_read(element, prefix.as_deref(), &services),
        None => {}
    }
    let stale = element.switch("stale").unwrap_or(false);
    if stale && protocol == Some(Protocol::Watch) {
        element.fault(FaultKind::StaleWithWatch);
    }
    let login = element.child("login").map(|child| login(&child, protocol)).unwrap_or_default();
    reject_tls(element);
    let limits = element.child("limits").map(|limits| registry_limits(&limits)).unwrap_or_default();
    element.report_unknown();
    Some(RegistryConfig {
        name: name?.to_owned(),
        protocol: protocol?,
        prefix: prefix.unwrap_or_default(),
        services,
        members,
        stale,
        user: login.user,
        secret_file: login.secret_file,
        limits,
    })
}

fn protocol(element: &Element) -> Option<Protocol> {
    let protocol = element.choice("protocol", &PROTOCOLS);
    if element.attribute("protocol").is_none() {
        let expected = "watch or blocking-read";
        element.fault(FaultKind::MissingAttribute { attribute: "protocol", expected });
    }
    protocol
}

fn service(element: &Element) -> Option<String> {
    let name = element.required("name", "the service's name");
    element.report_unknown();
    name.map(str::to_owned)
}

fn members(element: &Element) -> Vec<String> {
    let members: Vec<String> = element.children("member").iter().filter_map(member).collect();
    if members.is_empty() {
        element.fault(FaultKind::MissingElement { example: "<member address=\"HOST:PORT\"/>" });
    }
    if members.len() > MAX_MEMBERS {
        element.fault(FaultKind::TooMany { entries: "members", max: MAX_MEMBERS });
    }
    members
}

fn member(element: &Element) -> Option<String> {
    let address = element.required("address", ADDRESS);
    element.report_unknown();
    let address = address?;
    if !is_host_and_port(address) {
        let expected = ADDRESS.to_owned();
        let found = address.to_owned();
        element.fault(FaultKind::InvalidAttribute { attribute: "address", expected, found });
        return None;
    }
    Some(address.to_owned())
}

/// Whether the address is a host and a port. A URL is rejected, because its scheme, path or user would be taken for a
/// part of the host.
fn is_host_and_port(address: &str) -> bool {
    let Some((host, port)) = address.rsplit_once(':') else { return false };
    let port_is_valid = matches!(port.parse::<u16>(), Ok(1..));
    port_is_valid && !host.is_empty() && !address.contains(['/', '@', '?', '#', ' '])
}

fn check_watch(element: &Element, prefix: Option<&str>, services: &[String]) {
    if prefix.is_none_or(str::is_empty) {
        let expected = "the prefix of the keys of endpoints";
        element.fault(FaultKind::MissingAttribute { attribute: "prefix", expected });
    }
    if !services.is_empty() {
        element.fault(FaultKind::ServiceWithWatch);
    }
}

fn check_blocking_read(element: &Element, prefix: Option<&str>, services: &[String]) {
    if services.is_empty() {
        element.fault(FaultKind::MissingElement { example: "<service name=\"…\"/>" });
    }
    if prefix.is_some() {
        element.fault(FaultKind::PrefixWithBlockingRead);
    }
}

/// The credentials for a registry.
#[derive(Default)]
struct Login {
    user: Option<String>,
    secret_file: Option<String>,
}

fn login(element: &Element, protocol: Option<Protocol>) -> Login {
    let user = element.attribute("user");
    let secret_file = element.required("secret-file", "the path of a file with the password or token");
    match protocol {
        Some(Protocol::Watch) if user.is_none() => {
            element.fault(FaultKind::MissingAttribute { attribute: "user", expected: "a user name" });
        }
        Some(Protocol::BlockingRead) if user.is_some() => element.fault(FaultKind::UserWithToken),
        _ => {}
    }
    element.report_unknown();
    Login { user: user.map(str::to_owned), secret_file: secret_file.map(str::to_owned) }
}

/// Records a fault if there is a `<tls>` element. If it were ignored, the operator would believe that connections are
/// encrypted.
fn reject_tls(element: &Element) {
    let Some(tls) = element.child("tls") else { return };
    for name in ["authority-file", "certificate-file", "key-file"] {
        let _ = tls.attribute(name);
    }
    tls.fault(FaultKind::TlsReserved);
    tls.report_unknown();
}

fn registry_limits(element: &Element) -> RegistryLimits {
    let limits = RegistryLimits {
        connect_timeout: element.duration("connect"),
        request_timeout: element.duration("answer"),
        progress_after: element.duration("nudge"),
        initial_backoff: element.duration("first-pause"),
        max_backoff: element.duration("longest-pause"),
        page_size: element.integer("page", 1, MAX_PAGE_SIZE).map(|size| size as u32),
        snapshot_burst: element.positive_number("rereads", MAX_SNAPSHOT_BURST),
        snapshots_per_minute: element.positive_number("rereads-per-minute", MAX_SNAPSHOTS_PER_MINUTE),
        max_poll_wait: element.duration("wait"),
        min_poll_interval: element.duration("floor"),
        max_staleness: element.duration("oldest"),
        max_entries: element.integer("most-entries", 1, MAX_ENTRIES).map(|count| count as usize),
    };
    if let (Some(initial), Some(max)) = (limits.initial_backoff, limits.max_backoff)
        && initial > max
    {
        element.fault(FaultKind::BackoffsReversed { initial, max });
    }
    if limits.snapshot_burst.is_some_and(|burst| burst < 1.0) {
        let consequence = "a snapshot could never be read";
        element.fault(FaultKind::BurstBelowOne { attribute: "rereads", consequence });
    }
    element.report_unknown();
    limits
}
