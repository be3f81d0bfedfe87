//! Readers of the log that end, stop or come back: the log is for the operators, and decisions, drains and the program's end
//! wait for none of it.

mod harness;

use std::time::Duration;

use dahliaroad_demo::Fleet;
use harness::*;
use tokio::time::{sleep, timeout};

/// SIGKILL may follow a SIGTERM after this time.
const TERMINATION_GRACE: Duration = Duration::from_millis(700);

/// Has counters logged so often that the limit of lines a second is passed, and a pipe that nobody reads is full.
async fn log_a_flood(controller: &ControllerProcess) {
    for _ in 0..60 {
        controller.signal("-USR1");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn assert_drains(fleet: &Fleet, endpoint: &str) {
    fleet.world.set_health(endpoint, "leaving");
    let is_drained = || !is_in_any_table(fleet, endpoint);
    let drained = timeout(DRAIN_GRACE, async {
        while !is_drained() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    drained.await.unwrap_or_else(|_| panic!("{endpoint} is still in a table"));
}

async fn assert_terminates(controller: &mut ControllerProcess) {
    controller.signal("-TERM");
    let ended = timeout(TERMINATION_GRACE, controller.process.wait()).await;
    assert_eq!(ended.expect("an end within the grace").unwrap().code(), Some(0));
}

/// A log collector restarts while much is logged. The controller has to go on, and to end as it would with one.
#[test]
fn a_log_reader_that_ends_does_not_end_the_controller() {
    run_scenario(async {
        let (fleet, mut controller) = start_fleet_and_controller(4).await;
        controller.end_log_reader().await;
        log_a_flood(&controller).await;
        controller.assert_alive().await;
        assert_drains(&fleet, "e0").await;
        controller.signal("-HUP");
        sleep(Duration::from_millis(50)).await;
        controller.assert_alive().await;
        assert_terminates(&mut controller).await;
    });
}
