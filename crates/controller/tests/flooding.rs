//! Peers that send as much as they can, or hold connections in the middle of a message: the others are still served, drains
//! leave in time, and memory keeps its limit.

mod harness;

use std::cell::Cell;
use std::io::Write;
use std::net::{SocketAddr, TcpStream as BlockingTcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::Duration;

use dahliaroad_demo::{Fleet, encode_frame};
use harness::*;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// The memory limit of a controller, in bytes.
const MEMORY_LIMIT: usize = 32 << 20;
/// How long other connections' probes may wait for an answer.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(1);
/// How long a flooding client whose connection was closed waits until it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The period over which the controller limits its log lines.
const LOG_LIMIT_PERIOD: Duration = Duration::from_secs(1);
/// How long a flooding client waits for a connection that takes nothing.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Clients that write the same bytes again and again, each on a thread and a connection of its own, until they are dropped.
/// A client whose connection is closed connects again.
struct Flood {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(count: usize, address: SocketAddr, introduction: &[u8], bytes: Vec<u8>) -> Flood {
        let is_over = Arc::new(AtomicBool::new(false));
        let bytes = Arc::new(bytes);
        let client = |_| {
            let (is_over, introduction, bytes) = (is_over.clone(), introduction.to_vec(), bytes.clone());
            std::thread::spawn(move || {
                while !is_over.load(Relaxed) {
                    let _ = flood_connection(address, &introduction, &bytes, &is_over);
                    std::thread::sleep(RECONNECT_DELAY);
                }
            })
        };
        let clients = (0..count).map(client).collect();
        Flood { is_over, clients }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Writes the bytes again and again until the connection or the flood ends.
fn flood_connection(
    address: SocketAddr,
    introduction: &[u8],
    bytes: &[u8],
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let mut connection = BlockingTcpStream::connect(address)?;
    connection.set_write_timeout(Some(WRITE_TIMEOUT))?;
    connection.write_all(introduction)?;
    while !is_over.load(Relaxed) {
        let mut rest = bytes;
        while !rest.is_empty() && !is_over.load(Relaxed) {
            match connection.write(rest) {
                Ok(0) => return Ok(()),
                Ok(count) => rest = &rest[count..],
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
    Ok(())
}

/// How long others waited during a flood.
struct Delays {
    longest_probe: Duration,
    drain: Duration,
}

/// Sends probes on new connections for `duration`, and has `e0` drain after a second.
async fn measure_delays(fleet: &Fleet, controller: &ControllerProcess, duration: Duration) -> Delays {
    let begin = Instant::now();
    let drain_delay = Cell::new(None);
    let drain = async {
        sleep(Duration::from_secs(1)).await;
        fleet.world.set_health("e0", "leaving");
        let listed_at = Instant::now();
        wait_until("drained", || !is_in_any_table(fleet, "e0")).await;
        drain_delay.set(Some(listed_at.elapsed()));
    };
    let longest = Cell::new(Duration::ZERO);
    let probes = async {
        while begin.elapsed() < duration || drain_delay.get().is_none() {
            let sent_at = Instant::now();
            controller.assert_alive().await;
            longest.set(longest.get().max(sent_at.elapsed()));
            sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::join!(drain, probes);
    Delays { longest_probe: longest.get(), drain: drain_delay.get().expect("the drain has ended") }
}

/// A valid report of 1 MiB that consists of short unknown fields but for a few.
fn report_with_unknown_fields() -> Vec<u8> {
    let mut text =
        String::from(r#"{"type":"demand","node":1,"route":"lookup","total":3,"errors":0,"interval":1000"#);
    let mut number = 0;
    while text.len() < (1 << 20) - 20 {
        text.push_str(&format!(",\"{number}\":1"));
        number += 1;
    }
    text.push('}');
    [&(text.len() as u32).to_le_bytes(), text.as_bytes()].concat()
}

fn introduction() -> Vec<u8> {
    encode_frame(&json!({"type": "agent", "locality": "east"}))
}

/// Returns the highest memory use of the controller so far, in bytes.
fn peak_memory(controller: &ControllerProcess) -> usize {
    let id = controller.process.id().expect("still running");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

/// Starts a fleet and a controller whose limit of memory is [`MEMORY_LIMIT`].
async fn start_with_memory_limit() -> (Fleet, ControllerProcess) {
    let fleet = start_fleet(4).await;
    let mut config = configuration(&fleet, fleet.world.list(None));
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_LIMIT >> 20, "sockets": 1024});
    let controller = ControllerProcess::start(config).await;
    wait_until("all bound", || (0..4).all(|proxy| is_bound(&fleet, proxy))).await;
    (fleet, controller)
}

/// Twenty collectors send valid reports of 100,000 short unknown fields as fast as they can. Each takes milliseconds to
/// decode, one followed on the other, and sockets were looked at in between only now and then: probes of other connections
/// and drains waited for seconds.
#[test]
fn reports_of_very_many_fields_delay_no_probe_and_no_drain() {
    run_scenario(async {
        let (fleet, controller) = start_fleet_and_controller(6).await;
        let flood = Flood::start(20, controller.address, &introduction(), report_with_unknown_fields());
        let delays = measure_delays(&fleet, &controller, Duration::from_secs(5)).await;
        drop(flood);
        assert!(
            delays.longest_probe < MAX_PROBE_DELAY,
            "a probe was answered after {:?}",
            delays.longest_probe
        );
        assert!(delays.drain < DRAIN_GRACE, "a drain took {:?}", delays.drain);
        // The log leaves out lines of a second with many, as of the flood's closed connections, and the counters with them.
        sleep(LOG_LIMIT_PERIOD * 2).await;
        assert!(controller.counter("sums taken in").await > 0);
    });
}

/// Collectors send one report of 1 MiB each and stay. The buffer of the last frame was kept until the next one, and its
/// memory counted as free, so that with enough collectors the process passed its limit and was killed.
#[test]
fn large_reports_leave_no_memory_with_collectors_that_stay() {
    run_scenario(async {
        let (_fleet, controller) = start_with_memory_limit().await;
        let report = report_with_unknown_fields();
        let mut collectors = Vec::new();
        for _ in 0..32 {
            let mut collector = controller.connect_collector().await;
            collector.write_all(&report).await.unwrap();
            collectors.push(collector);
            sleep(Duration::from_millis(300)).await;
        }
        controller.wait_for_counter("sums taken in", collectors.len()).await;
        let peak = peak_memory(&controller);
        assert!(peak < MEMORY_LIMIT, "{peak} bytes");
    });
}

/// Hundreds of collectors stop half way through a report of 1 MiB, and others send one byte by byte. Their frames are
/// limited in memory and time, and another collector is served meanwhile.
#[test]
fn collectors_that_stop_half_way_through_large_reports_take_little_memory() {
    run_scenario(async {
        let (_fleet, controller) = start_with_memory_limit().await;
        let report = report_with_unknown_fields();
        let mut connections: Vec<TcpStream> = Vec::new();
        for number in 0..200 {
            let collector = controller.connect_collector().await;
            let length = if number % 2 == 0 { report.len() / 2 } else { 15_000 };
            let _ = collector.try_write(&report[..length]);
            collector.set_nodelay(true).unwrap();
            connections.push(collector);
        }
        let mut other = controller.connect_collector().await;
        for _ in 0..20 {
            for connection in &mut connections {
                let _ = connection.try_write(b" ");
            }
            let sent_at = Instant::now();
            assert_answers(&mut other).await;
            assert!(sent_at.elapsed() < MAX_PROBE_DELAY, "{:?}", sent_at.elapsed());
            sleep(Duration::from_millis(100)).await;
        }
        let peak = peak_memory(&controller);
        assert!(peak < MEMORY_LIMIT, "{peak} bytes");
    });
}

/// Discovery's list has millions of elements that are no entries. Memory was taken for each as for an entry.
#[test]
fn a_list_of_very_many_short_elements_takes_little_memory() {
    run_scenario(async {
        let (fleet, controller) = start_with_memory_limit().await;
        let elements = "1,".repeat(2 << 20);
        let list = format!(r#"{{"seq":1000000,"whole":true,"hosts":[{elements}1]}}"#);
        *fleet.world.response_override.borrow_mut() = Some(list);
        fleet.world.set_health("e1", "leaving");
        controller.wait_for_counter("watches lost", 1).await;
        *fleet.world.response_override.borrow_mut() = None;
        wait_until("drained", || !is_in_any_table(&fleet, "e1")).await;
        assert!(is_in_any_table(&fleet, "e0"));
        let peak = peak_memory(&controller);
        assert!(peak < MEMORY_LIMIT, "{peak} bytes");
    });
}
