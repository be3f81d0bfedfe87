//! Peers that send as much as they can, or hold connections in the middle of a message: the others are still served, drains
//! leave in time, and memory keeps its limit.

mod harness;

use std::time::Duration;

use dahliaroad_demo::Fleet;
use harness::*;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// The memory limit of a controller, in bytes.
const MEMORY_LIMIT: usize = 32 << 20;
/// How long other connections' probes may wait for an answer.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(1);

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
