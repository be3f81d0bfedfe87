//! A real pilot: the module of `dahliaroad` on sockets. Here the tasks are wired up and ended.

mod collectors;
mod counters;
mod discovery;
mod endpoints;
mod lists;
mod logging;
mod relay;
mod start;

use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::Pilot;
use dahliaroad_fleet::{Bounds, Fleet, SourceTerms};
use dahliaroad_host::{Desk, Seat};
use discovery::Watch;
use lists::{ListMessage, Places};
use relay::Outbox;
use start::{Renewal, Start};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet, LocalSet};

/// Probes that may wait to be sent.
const PROBES_WAITING: usize = 1024;

/// What ended the program when no one asked for it: no task ever ends by itself.
fn ended(task: Option<Result<(), JoinError>>) -> io::Error {
    match task {
        Some(Err(error)) => io::Error::other(error),
        _ => io::Error::other("a task ended"),
    }
}

async fn serve(start: Start) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut ask = signal(SignalKind::user_defined1())?;
    let mut renew = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(start.listen).await?;
    tracing::info!("{} listens on {}", start.name, listener.local_addr()?);
    let (calls_chance, news_chance) = (start.chance(1), start.chance(2));
    let renewal = Renewal::of(&start);
    let Start { opening, known, limits, .. } = start;
    let (zones, classes) = (opening.zones, opening.classes);
    let proxies = opening.deployment.proxies as u32;
    let outbox = Rc::new(Outbox::new(classes.clone()));
    let (desk, calls) = Desk::open();
    let (probes, probes_waiting) = mpsc::channel(PROBES_WAITING);
    let mut fleet = Fleet::new(Bounds::default());
    let platform = fleet.add(SourceTerms::direct("discovery"));
    let seat = Seat::new(Pilot::new(opening.deployment), fleet);
    let places = Rc::new(Places { zones: zones.clone(), kinds: opening.kinds });
    let base = known.as_ref().and_then(ListMessage::base);
    let watch = Watch::new(renewal.discovery(), places, desk.clone(), platform, base);
    let terms = relay::Terms { zones: zones.clone(), proxies };
    let joined = relay::Joined::new(renewal.relay(), terms, outbox.clone(), desk.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(dahliaroad_host::run(seat, calls, outbox.clone(), probes, opening.turn));
    // What was last known of the list stands until discovery has answered.
    if let Some(known) = known {
        watch.route(known).await;
    }
    tasks.spawn_local(watch.follow());
    tasks.spawn_local(endpoints::probe(probes_waiting, opening.connect_within, limits, desk.clone()));
    tasks.spawn_local(relay::carry_out(renewal.relay(), outbox, desk.clone(), calls_chance));
    tasks.spawn_local(joined.follow(news_chance));
    let terms = collectors::Terms { zones, classes, proxies };
    tasks.spawn_local(collectors::listen(listener, terms, limits, desk));
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = ask.recv() => tracing::info!("{}", counters::line()),
            _ = renew.recv() => renewal.renew(),
            task = tasks.join_next() => return Err(ended(task)),
        }
    }
}

fn main() -> ExitCode {
    logging::start(logging::Form::Text);
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
    tracing::info!("{}", counters::line());
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad: {error}");
            ExitCode::FAILURE
        }
    }
}
