//! `fake-registry`: a fake registry for trying out a controller instance. It serves both protocols on loopback, reads
//! commands from standard input, and can be filled with the endpoints that the demo's discovery lists.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use dahliaroad_fakes::{Member, Store, consul, etcd};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::net::TcpStream;

const HELP: &str = "commands: put NAME JSON, drain NAME, aside NAME, run NAME, delete NAME, lease NAME SECONDS, \
compact, keep REVISIONS, backup, restore, replace, leaderless on|off, list, quit";

#[derive(Parser)]
#[command(about = "Fake registry for trying out a controller instance: \
    watches and blocking reads of one store, on loopback")]
struct Arguments {
    /// Address on which watches are served
    #[arg(long, default_value = "127.0.0.1:2379")]
    watches: SocketAddr,
    /// Address on which blocking reads are served
    #[arg(long, default_value = "127.0.0.1:8500")]
    reads: SocketAddr,
    /// Prefix of the endpoints' keys, for watches; without its trailing slash, the service for blocking reads
    #[arg(long, default_value = "fleet/")]
    prefix: String,
    /// Address of a demo fleet's discovery, whose endpoints are registered at the start
    #[arg(long)]
    fill_from: Option<SocketAddr>,
}

/// Requests the endpoint list from the demo's discovery.
async fn endpoint_list(discovery: SocketAddr) -> Result<Value, Box<dyn Error>> {
    let stream = TcpStream::connect(discovery).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::get("/registry/instances").header("host", discovery.to_string());
    let response = sender.send_request(request.body(Empty::<Bytes>::new())?).await?;
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}

/// Converts an entry of the demo's discovery to a value of the registry.
fn registry_value(host: &Value) -> Value {
    json!({"address": host["dial"], "zone": host["site"], "kind": host["class"], "weight": host["share"],
        "started_ms": host["born_ms"]})
}

/// Whether the program reads further commands.
#[derive(PartialEq)]
enum AfterCommand {
    Continue,
    Quit,
}

/// The words of one input line: a command, usually a name, and the rest of the line.
struct Command<'a> {
    verb: &'a str,
    name: &'a str,
    rest: &'a str,
}

impl<'a> Command<'a> {
    fn parse(line: &'a str) -> Command<'a> {
        let mut words = line.trim().splitn(3, ' ');
        let mut next = || words.next().unwrap_or("");
        Command { verb: next(), name: next(), rest: next() }
    }

    fn run(&self, prefix: &str, store: &Store) -> Result<AfterCommand, Box<dyn Error>> {
        let key = format!("{prefix}{}", self.name);
        match self.verb {
            "put" => drop(store.put(&key, self.rest)),
            "drain" => set_state(store, &key, "draining")?,
            "aside" => set_state(store, &key, "aside")?,
            "run" => set_state(store, &key, "running")?,
            "delete" => drop(store.delete(&key)),
            "lease" => {
                let time_to_live = Duration::try_from_secs_f64(self.rest.parse()?)?;
                let value = with_state(store, &key, "running")?;
                store.put_leased(&key, &value, 1, time_to_live);
            }
            "compact" => store.compact(store.leader().revision),
            "keep" => store.retain_revisions(self.name.parse()?),
            "backup" => store.back_up(),
            "restore" => store.restore(true),
            "replace" => store.replace(),
            "leaderless" => store.set_member(0, Member { lag: 0, leaderless: self.name == "on" }),
            "list" => print_keys(store),
            "quit" => return Ok(AfterCommand::Quit),
            _ => println!("{HELP}"),
        }
        let view = store.leader();
        println!("revision {}, compacted up to {}", view.revision, view.compacted);
        Ok(AfterCommand::Continue)
    }
}

/// Returns the value of a registered endpoint with its state replaced.
fn with_state(store: &Store, key: &str, state: &str) -> Result<String, Box<dyn Error>> {
    let known = store.keys().remove(key).ok_or("no such name")?;
    let mut value: Value = serde_json::from_slice(&known.value)?;
    value["state"] = json!(state);
    Ok(value.to_string())
}

fn set_state(store: &Store, key: &str, state: &str) -> Result<(), Box<dyn Error>> {
    let value = with_state(store, key, state)?;
    store.put(key, &value);
    Ok(())
}

fn print_keys(store: &Store) {
    for (name, key) in store.keys() {
        let value = String::from_utf8_lossy(&key.value);
        println!("{name} (made at {}, changed at {}) {value}", key.created, key.modified);
    }
}

/// Registers all endpoints that the demo's discovery lists.
async fn fill(store: &Store, discovery: SocketAddr, prefix: &str) -> Result<(), Box<dyn Error>> {
    let list = endpoint_list(discovery).await?;
    for host in list["hosts"].as_array().into_iter().flatten() {
        let name = host["host"].as_str().ok_or("an entry without a name")?;
        store.put(&format!("{prefix}{name}"), &registry_value(host).to_string());
    }
    Ok(())
}

async fn serve(arguments: Arguments) -> Result<(), Box<dyn Error>> {
    let Arguments { watches, reads, prefix, fill_from } = arguments;
    if !(watches.ip().is_loopback() && reads.ip().is_loopback()) {
        return Err("a stand-in serves on loopback only".into());
    }
    let store = Store::new(1);
    if let Some(discovery) = fill_from {
        fill(&store, discovery, &prefix).await?;
    }
    let watches = etcd::serve(store.clone(), 0, watches, usize::MAX).await?;
    let reads = consul::serve(store.clone(), 0, reads).await?;
    let keys = store.keys().len();
    println!("watches at {watches}, blocking reads at {reads}, {keys} keys under {prefix}");
    println!("{HELP}");
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        match Command::parse(&line).run(&prefix, &store) {
            Ok(AfterCommand::Continue) => {}
            Ok(AfterCommand::Quit) => return Ok(()),
            Err(error) => println!("{error}"),
        }
    }
    // Without a terminal, standard input ends immediately. The program then keeps serving until it is killed.
    std::future::pending().await
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = runtime.map_err(Into::into).and_then(|runtime| {
        let served = runtime.block_on(serve(arguments));
        // The thread that reads standard input may be blocked in the read, so the shutdown does not wait for it.
        runtime.shutdown_timeout(Duration::ZERO);
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake-registry: {error}");
            ExitCode::FAILURE
        }
    }
}
