//! A real pilot: the module of `dahliaroad` on sockets. Here the tasks are wired up and ended.

mod collectors;
mod counters;
mod decide;
mod discovery;
mod endpoints;
mod log;
mod relay;
mod start;

use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::Pilot;
use decide::{Desk, Roster, Seat};
use start::Start;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

/// Probes that may wait to be sent.
const PROBES_WAITING: usize = 1024;

async fn serve(start: Start) -> io::Result<()> {
    let mut ends = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut asks = signal(SignalKind::user_defined1())?;
    let listener = TcpListener::bind(start.listen).await?;
    ::log::info!("{} listens on {}", start.name, start.listen);
    let chance = start.chance(1);
    let news_chance = start.chance(2);
    let opening = start.opening;
    let proxies = opening.deployment.proxies as u32;
    let places = discovery::Places { zones: opening.zones.clone(), kinds: opening.kinds };
    let outbox = Rc::new(relay::Outbox::new(opening.classes.clone()));
    let (desk, calls) = Desk::open();
    let (probes, probes_waiting) = mpsc::channel(PROBES_WAITING);
    let seat = Seat { pilot: Pilot::new(opening.deployment), roster: Roster::default() };
    spawn_local(decide::run(seat, calls, outbox.clone(), probes, opening.turn));
    if let Some(known) = start.known {
        let places = places.clone();
        desk.tell(move |seat, now| {
            let entries = known.admit(&places, &mut seat.roster);
            seat.pilot.list(now, true, &entries)
        })
        .await;
    }
    spawn_local(endpoints::probe(probes_waiting, opening.connect_within, desk.clone()));
    spawn_local(discovery::follow(start.discovery, places, desk.clone()));
    spawn_local(relay::carry_out(start.relay, outbox.clone(), desk.clone(), chance));
    let terms = relay::Terms { zones: opening.zones.clone(), proxies };
    spawn_local(relay::Joined::new(start.relay, terms, outbox, desk.clone()).follow(news_chance));
    let terms = collectors::Terms { zones: opening.zones, classes: opening.classes, proxies };
    spawn_local(collectors::listen(listener, terms, desk));
    let [terminate, interrupt] = &mut ends;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = asks.recv() => ::log::info!("{}", counters::line()),
        }
    }
}

fn main() -> ExitCode {
    log::start();
    let start = match Start::read() {
        Ok(start) => start,
        Err(error) => {
            eprintln!("dahliaroad: configuration: {error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| {
        let ended = LocalSet::new().block_on(&runtime, serve(start));
        // Peers are not waited for.
        runtime.shutdown_timeout(Duration::ZERO);
        ended
    });
    ::log::info!("{}", counters::line());
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad: {error}");
            ExitCode::FAILURE
        }
    }
}
