//! Endpoints from a registry: the controller in a process of its own between the fake registry and the
//! simulated fleet, whose proxies send by the tables that they hold.

#[path = "../harness/mod.rs"]
mod harness;
mod registry_fixture;

use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use dahliaroad_demo::Fleet;
use dahliaroad_fakes::FaultyLink;
use harness::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use registry_fixture::{Registry, RegistryKind};
use serde_json::json;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

/// Connections are cut in bursts of this length with a pause between bursts. Without the pause all
/// connections may end before an answer has passed, for four seconds on a busy machine. Calls that are late
/// for that reason would not show a fault of the controller.
const CUT_BURST: Duration = Duration::from_millis(400);
const CUT_PAUSE: Duration = Duration::from_millis(500);

/// A fleet whose endpoints are all registered, a controller that has bound all proxies, and the traffic of
/// the proxies.
struct Scenario {
    fleet: Rc<Fleet>,
    registry: Registry,
    controller: ControllerProcess,
    traffic: Rc<TrafficMonitor>,
}

async fn start_scenario(kind: RegistryKind, endpoints: u32) -> Scenario {
    let fleet = Rc::new(start_fleet(endpoints).await);
    let registry = Registry::start(kind).await;
    (0..endpoints).for_each(|number| registry.put(&fleet, &format!("e{number}"), "running"));
    let configuration = configuration(&fleet, fleet.world.list(None));
    let controller = ControllerProcess::start_with_options_file(configuration, Some(&registry.file)).await;
    wait_until("all bound", || (0..4).all(|proxy| is_bound(&fleet, proxy) && has_endpoints(&fleet, proxy)))
        .await;
    let traffic = TrafficMonitor::start(&fleet, &controller);
    Scenario { fleet, registry, controller, traffic }
}

/// Cuts connections, and starts, drains and removes endpoints, at random times.
struct RandomChanges<'a> {
    fleet: &'a Fleet,
    registry: &'a Registry,
    traffic: &'a TrafficMonitor,
    random: ChaCha8Rng,
    /// Running endpoints that may end. Four others run all the time.
    running: Vec<String>,
    draining: Vec<String>,
    cuts: usize,
    next_name: u32,
}

impl RandomChanges<'_> {
    fn cut_connections(&mut self) {
        for link in &self.registry.links {
            match self.random.random_range(0..4) {
                0 => link.cut(),
                1 => link.cut_after(self.random.random_range(1..600)),
                _ => continue,
            }
            self.cuts += 1;
        }
    }

    fn end_endpoint(&mut self) {
        if self.random.random_range(0..3) != 0 || self.running.len() <= 2 {
            return;
        }
        let name = self.running.remove(self.random.random_range(0..self.running.len()));
        match self.random.random_range(0..2) {
            0 => {
                self.registry.put(self.fleet, &name, "draining");
                self.draining.push(name.clone());
            }
            _ => self.registry.delete(&name),
        }
        self.traffic.mark_ended(&name);
    }

    async fn start_endpoint(&mut self) {
        if self.random.random_range(0..3) != 0 || self.running.len() >= 8 {
            return;
        }
        // Half of the time a drained name returns as a new process.
        let name = match self.draining.pop().filter(|_| self.random.random_range(0..2) == 0) {
            Some(name) => name,
            None => format!("e{}", self.next_name),
        };
        self.next_name += 1;
        self.fleet.start_endpoint(&name, zone(self.next_name), "large", 20.0).await.unwrap();
        self.traffic.ended_at.borrow_mut().remove(&name);
        self.registry.put(self.fleet, &name, "running");
        self.running.push(name);
    }

    /// Continues until `cuts` connections have been cut.
    async fn run(&mut self, cuts: usize) {
        let mut burst_start = Instant::now();
        while self.cuts < cuts {
            if burst_start.elapsed() > CUT_BURST {
                self.registry.links.iter().for_each(FaultyLink::cancel_cut);
                sleep(CUT_PAUSE).await;
                burst_start = Instant::now();
            }
            self.cut_connections();
            self.end_endpoint();
            self.start_endpoint().await;
            sleep(Duration::from_millis(self.random.random_range(5..90))).await;
        }
    }
}

/// Cuts `cuts` connections at random times while endpoints start, drain and go. The delay of a call counts
/// from the time at which the endpoint was taken out of the registry, whatever was cut since.
fn cut_at_random_times(kind: RegistryKind, cuts: usize) {
    run_scenario(async move {
        let Scenario { fleet, registry, controller, traffic } = start_scenario(kind, 10).await;
        registry.store.retain_revisions(2);
        let mut changes = RandomChanges {
            fleet: &fleet,
            registry: &registry,
            traffic: &traffic,
            random: ChaCha8Rng::seed_from_u64(1600),
            running: (4..10).map(|number| format!("e{number}")).collect(),
            draining: Vec::new(),
            cuts: 0,
            next_name: 10,
        };
        changes.run(cuts).await;
        let RandomChanges { running, cuts: cut, .. } = changes;
        let ended: Vec<String> = traffic.ended_at.borrow().keys().cloned().collect();
        assert!(ended.len() >= 10, "{ended:?}");
        wait_until("ended endpoints withdrawn", || ended.iter().all(|name| !is_in_any_table(&fleet, name)))
            .await;
        wait_until("running endpoints in tables", || {
            running.iter().all(|name| is_in_any_table(&fleet, name))
        })
        .await;
        assert_eq!(
            (traffic.calls_after_grace.get(), traffic.calls_without_endpoint.get()),
            (0, 0),
            "slowest {:?}, late {:?}\n{}",
            traffic.longest_use_after_end.get(),
            traffic.late_endpoints.borrow(),
            controller.log.borrow().join("\n")
        );
        assert!(traffic.calls.get() > 10_000 && cut >= cuts, "{} calls", traffic.calls.get());
        assert!(controller.counter("registry asks failed").await >= cuts / 4);
        assert!(controller.counter("registry reads of the whole").await >= 1);
    });
}

/// Connections to an etcd cluster break at random times, also in the middle of an answer, while endpoints
/// start, drain and go. No call may be late, and no class may be without an endpoint.
#[test]
fn watches_cut_at_200_random_moments_leave_no_call_late_and_no_class_without_an_endpoint() {
    cut_at_random_times(RegistryKind::Etcd, 200);
}

/// Connections to a Consul cluster break during blocking reads at random times while endpoints start, drain
/// and go. No call may be late, and no class may be without an endpoint.
#[test]
fn blocking_reads_cut_at_200_random_moments_leave_no_call_late_and_no_class_without_an_endpoint() {
    cut_at_random_times(RegistryKind::Consul, 200);
}

/// The registry moves to new members while a watch is open, and endpoints drain and go at the same time. The
/// reload must have the new connection up before it closes the old one.
#[test]
fn a_registry_that_moves_in_the_middle_of_a_watch_is_followed_and_loses_nothing() {
    for kind in [RegistryKind::Etcd, RegistryKind::Consul] {
        run_scenario(async move {
            let Scenario { fleet, mut registry, controller, traffic } = start_scenario(kind, 8).await;
            for round in 0..3 {
                let (drained, removed) = (format!("e{round}"), format!("e{}", 7 - round));
                let old = registry.open_members().await;
                registry.put(&fleet, &drained, "draining");
                controller.signal("-HUP");
                traffic.mark_ended(&drained);
                registry.delete(&removed);
                traffic.mark_ended(&removed);
                wait_until("new members connected", || registry.links.iter().any(|link| link.bytes() > 0))
                    .await;
                for link in &old {
                    link.set_refusing(true);
                    link.cut();
                }
                wait_until("endpoints withdrawn", || {
                    ![&drained, &removed].iter().any(|name| is_in_any_table(&fleet, name))
                })
                .await;
            }
            assert_eq!(
                (traffic.calls_after_grace.get(), traffic.calls_without_endpoint.get()),
                (0, 0),
                "{:?}",
                traffic.longest_use_after_end.get()
            );
            assert_eq!(controller.counter("configurations taken over").await, 3);
        });
    }
}

/// An unreachable registry gives no information, so every endpoint must stay. An empty list means that all
/// endpoints are gone, once other endpoints are registered.
#[test]
fn a_silent_registry_keeps_its_endpoints_and_an_empty_one_removes_them() {
    run_scenario(async {
        let Scenario { fleet, registry, controller, traffic } = start_scenario(RegistryKind::Etcd, 4).await;
        for link in &registry.links {
            link.set_refusing(true);
            link.cut();
        }
        wait_until("failed request logged", || controller.has_logged("request failed source=\"main\"")).await;
        sleep(Duration::from_millis(700)).await;
        assert_eq!(traffic.calls_without_endpoint.get(), 0);
        registry.links.iter().for_each(|link| link.set_refusing(false));
        // An empty list is a valid list: after it only the endpoints registered later exist.
        (0..4).for_each(|number| registry.delete(&format!("e{number}")));
        sleep(Duration::from_millis(300)).await;
        for name in ["new0", "new1"] {
            fleet.start_endpoint(name, zone(u32::from(name == "new1")), "large", 20.0).await.unwrap();
            registry.put(&fleet, name, "running");
        }
        wait_until("old endpoints withdrawn", || {
            (0..4).all(|number| !is_in_any_table(&fleet, &format!("e{number}")))
        })
        .await;
        wait_until("new endpoints in tables", || {
            ["new0", "new1"].iter().all(|name| is_in_any_table(&fleet, name))
        })
        .await;
    });
}

/// The entries of an endpoint that runs and of one that then drains lose their start. The running one was taken for gone for
/// good, and no longer got any request.
#[test]
fn an_entry_that_loses_its_start_keeps_its_endpoint_and_its_drain_counts() {
    for kind in [RegistryKind::Etcd, RegistryKind::Consul] {
        run_scenario(async move {
            let Scenario { fleet, registry, controller, traffic } = start_scenario(kind, 6).await;
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
            for name in ["e0", "e2"] {
                registry.put_started(&fleet, name, "running", Some(now.as_millis() as u64));
            }
            // The registry's order: once a drain is out, what was put before it has been read.
            registry.put(&fleet, "e1", "draining");
            wait_until("starts read", || !is_in_any_table(&fleet, "e1")).await;
            report_load_until(&fleet, &controller, "restarted", || {
                ["e0", "e2"].iter().all(|name| is_in_any_table(&fleet, name))
            })
            .await;
            registry.put_started(&fleet, "e0", "running", None);
            registry.put_started(&fleet, "e2", "draining", None);
            traffic.mark_ended("e2");
            wait_until("drained", || !is_in_any_table(&fleet, "e2")).await;
            assert!(is_in_any_table(&fleet, "e0"));
            registry.put(&fleet, "e3", "draining");
            wait_until("entry without its start read", || !is_in_any_table(&fleet, "e3")).await;
            assert!(is_in_any_table(&fleet, "e0"));
            assert_eq!(traffic.calls_after_grace.get(), 0);
            assert_eq!(controller.counter("listings of lives that were over").await, 0);
        });
    }
}

/// The operator's file lacks a unit or an end tag, or has an unknown protocol. A reload must change nothing;
/// a start must exit with a line that names the error.
#[test]
fn a_bad_operators_file_ends_a_start_and_changes_nothing_while_running() {
    run_scenario(async {
        let Scenario { fleet, registry, controller, traffic: _traffic } =
            start_scenario(RegistryKind::Etcd, 4).await;
        let good = std::fs::read_to_string(&registry.file).unwrap();
        for (from, to, error_text) in [
            ("\"200ms\"", "\"200\"", "line 4"),
            ("</dahliaroad>", "", "not well-formed XML"),
            ("watch", "wait", "protocol"),
        ] {
            std::fs::write(&registry.file, good.replacen(from, to, 1)).unwrap();
            controller.signal("-HUP");
            wait_until(error_text, || {
                controller.has_logged("reload rejected") && controller.has_logged(error_text)
            })
            .await;
        }
        assert_eq!(controller.counter("configurations refused").await, 3);
        let (mut restart, _) = controller_command(&configuration(&fleet, json!(null)).to_string());
        let ended = restart.env("DAHLIAROAD_OPTIONS", &registry.file).output();
        let ended = timeout(WAIT_TIMEOUT, ended).await.expect("process should exit in time").unwrap();
        let error = String::from_utf8(ended.stderr).unwrap();
        assert!(!ended.status.success() && error.contains("<registry>: protocol: expected"), "{error}");
        registry.put(&fleet, "e0", "draining");
        wait_until("drained", || !is_in_any_table(&fleet, "e0")).await;
    });
}

/// Returns the exit code, standard output and standard error of the program with these arguments.
async fn run(arguments: &[&str], configuration: &str) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliaroad"));
    command.env("ROUTER_CONFIG", configuration).args(arguments).stdin(Stdio::null());
    let ended = timeout(WAIT_TIMEOUT, command.output()).await.expect("process should exit in time").unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (ended.status.code(), text(ended.stdout), text(ended.stderr))
}

/// An operator checks the files and lists the fleet before a start. A file with two errors must report both,
/// with exit code 2.
#[test]
fn the_command_line_checks_files_and_shows_the_fleet() {
    run_scenario(async {
        for kind in [RegistryKind::Etcd, RegistryKind::Consul] {
            let fleet = start_fleet(3).await;
            let registry = Registry::start(kind).await;
            (0..3).for_each(|number| registry.put(&fleet, &format!("e{number}"), "running"));
            registry.put(&fleet, "e1", "draining");
            let (_, configuration) = controller_command(&configuration(&fleet, json!(null)).to_string());
            let (configuration, options) = (configuration.to_str().unwrap(), registry.file.to_str().unwrap());
            for good in [configuration, options] {
                assert_eq!(run(&["check", good], "").await.0, Some(0));
            }
            let (code, stdout, _) = run(&["fleet", "--json", "--options", options], configuration).await;
            let listed: Vec<serde_json::Value> =
                stdout.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
            assert_eq!(code, Some(0));
            let standing = |of: &serde_json::Value| (of["name"].to_string(), of["standing"].to_string());
            let expected = [("e0", "running"), ("e1", "draining"), ("e2", "running")];
            let expected =
                expected.map(|(name, standing)| (format!("\"{name}\""), format!("\"{standing}\"")));
            assert_eq!(listed.iter().map(standing).collect::<Vec<_>>(), expected);
            let faulty =
                std::fs::read_to_string(options).unwrap().replace("200ms", "200").replace("6000", "0");
            std::fs::write(options, faulty).unwrap();
            let (code, _, error) = run(&["check", options], "").await;
            assert_eq!((code, error.lines().count()), (Some(2), 3), "{error}");
            assert_eq!(run(&["fleet", "--options", options], configuration).await.0, Some(2));
        }
    });
}
