//! A real pilot: the module of `dahliaroad` on sockets. Here the tasks are wired up and ended.

mod collectors;
mod commands;
mod counters;
mod discovery;
mod endpoints;
mod lists;
mod logging;
mod pause;
mod relay;
mod sources;
mod start;

use std::io;
use std::process::ExitCode;
use std::rc::Rc;

use commands::{Command, Words};
use dahliaroad::Pilot;
use dahliaroad::interface::Orders;
use dahliaroad_fleet::{Fleet, Places, SourceId, SourceTerms, Verdict, Word};
use dahliaroad_host::{Desk, Seat};
use dahliaroad_options::Options;
use discovery::Watch;
use lists::ListMessage;
use logging::Form;
use rand::RngCore;
use relay::Outbox;
use sources::{Sources, Tallies};
use start::{Renewal, Start};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinError, JoinSet};

/// Probes that may wait to be sent.
const PROBES_WAITING: usize = 1024;

/// What ended the program when no one asked for it: no task ever ends by itself.
fn ended(task: Option<Result<(), JoinError>>) -> io::Error {
    match task {
        Some(Err(error)) => io::Error::other(error),
        _ => io::Error::other("a task ended"),
    }
}

/// What a source says goes to the fleet at the module's side, which answers what became of it.
async fn tell(desk: Desk, source: SourceId, word: Word) -> Verdict {
    let (answer, answered) = oneshot::channel();
    desk.tell(Box::new(move |seat, now| {
        let (verdict, orders) = seat.hear(now, source, word);
        let _ = answer.send(verdict);
        orders
    }))
    .await;
    answered.await.unwrap_or(Verdict::Taken)
}

async fn serve(start: Start, words: &Words, options: &Options) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut ask = signal(SignalKind::user_defined1())?;
    let mut renew = signal(SignalKind::hangup())?;
    let mut fleet = Fleet::new(sources::bounds(&options.fleet));
    let platform = (!options.without_discovery).then(|| fleet.add(SourceTerms::direct("discovery")));
    let mut sources = Sources::add(options, &mut fleet).map_err(io::Error::other)?;
    let plans = std::mem::take(&mut sources.plans);
    let listener = TcpListener::bind(start.listen).await?;
    tracing::info!("{} listens on {}", start.name, listener.local_addr()?);
    let [calls_chance, news_chance, watch_chance, mut stamps] = [1, 2, 3, 4].map(|task| start.chance(task));
    let renewal = Renewal::of(&start, words, sources);
    let Start { opening, known, limits, seed, .. } = start;
    let (zones, classes) = (opening.zones, opening.classes);
    let proxies = opening.deployment.proxies as u32;
    let outbox = Rc::new(Outbox::new(classes.clone(), stamps.next_u32()));
    let (desk, calls) = Desk::open();
    let (probes, probes_waiting) = mpsc::channel(PROBES_WAITING);
    let seat = Seat::new(Pilot::new(opening.deployment), fleet);
    let places = Places { zones: zones.clone(), kinds: opening.kinds };
    let terms = relay::Terms { zones: zones.clone(), proxies };
    let joined = relay::Joined::new(renewal.relay(), terms, outbox.clone(), desk.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(dahliaroad_host::run(seat, calls, outbox.clone(), probes, opening.turn));
    if let Some(source) = platform {
        let base = known.as_ref().and_then(ListMessage::base);
        let places = Rc::new(places.clone());
        let watch = Watch::new(renewal.discovery(), places, desk.clone(), source, base, watch_chance);
        // What was last known of the list stands until discovery has answered.
        if let Some(known) = known {
            watch.route(known).await;
        }
        tasks.spawn_local(watch.follow());
    }
    let tallies = Rc::new(Tallies::default());
    for plan in plans {
        let (desk, source) = (desk.clone(), plan.source);
        let tell = async move |word| tell(desk.clone(), source, word).await;
        tasks.spawn_local(plan.follow(seed, places.clone(), tallies.clone(), tell));
    }
    tasks.spawn_local(endpoints::probe(probes_waiting, opening.connect_within, limits, desk.clone()));
    tasks.spawn_local(relay::carry_out(renewal.relay(), outbox, desk.clone(), calls_chance));
    tasks.spawn_local(joined.follow(news_chance));
    let terms = collectors::Terms { zones, classes: classes.clone(), proxies };
    tasks.spawn_local(collectors::listen(listener, terms, limits, desk.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = ask.recv() => {
                tracing::info!("{}", counters::line());
                let classes = classes.clone();
                desk.tell(Box::new(move |seat, now| {
                    seat.tell_sources(now);
                    seat.tell_levels(&classes);
                    Orders::default()
                }))
                .await;
            }
            _ = renew.recv() => renewal.renew(),
            task = tasks.join_next() => return Err(ended(task)),
        }
    }
}

/// Serves as a pilot until it is told to end.
fn pilot(words: &Words) -> ExitCode {
    let options = match commands::options(words.options.as_deref()) {
        Ok(options) => options,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("dahliaroad: options: {fault}"));
            return ExitCode::FAILURE;
        }
    };
    logging::start(words.log.unwrap_or(if options.log_json { Form::Json } else { Form::Text }));
    let start = match Start::read(words.config.as_deref()) {
        Ok(start) => start,
        Err(error) => {
            eprintln!("dahliaroad: configuration: {error}");
            return ExitCode::FAILURE;
        }
    };
    let ended = commands::on_one_thread(serve(start, words, &options));
    tracing::info!("{}", counters::line());
    commands::exit_of(ended)
}

fn main() -> ExitCode {
    let words = Words::read();
    match &words.command {
        None | Some(Command::Serve) => pilot(&words),
        Some(Command::Check { file }) => commands::check(file),
        Some(Command::Zone { old, new, apex, service }) => commands::zone(old, new, apex, service),
        Some(Command::Fleet { follow, json, within }) => commands::fleet(&words, *follow, *json, *within),
    }
}
