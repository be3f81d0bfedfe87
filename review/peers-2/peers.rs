//! The peers of a pilot on sockets: discovery, the relay, the endpoints' health checks, the collectors, and the pilot itself.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::world::{Condition, World};

pub type Shared = Arc<Mutex<World>>;

/// The time from the end of a report's interval until the pilot receives it.
const REPORT_DELAY: Duration = Duration::from_millis(700);

pub fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// A free address for the pilot. It has an address of the loopback range to itself, so that no other connection of the machine
/// is given its port before the pilot listens there.
pub fn free_address() -> String {
    let process = std::process::id();
    let listener = TcpListener::bind(format!("127.77.{}.{}:0", process / 250 % 250 + 1, process % 250 + 1)).unwrap();
    listener.local_addr().unwrap().to_string()
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            spawn(move || handle(stream));
        }
    });
}

/// Reads the head of an HTTP request; returns its path.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            return first.split_whitespace().nth(1).map(str::to_owned);
        }
    }
}

fn respond(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).is_ok()
}

/// Discovery's agent.
pub fn discovery(world: &Shared) -> String {
    let (listener, address) = listen();
    let world = world.clone();
    serve(listener, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(path) = read_request(&mut reader) {
            let query = path.split_once('?').map(|(_, query)| query.to_owned()).unwrap_or_default();
            let value = |name: &str| {
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
                pair.parse::<u64>().ok()
            };
            let after = value("after");
            let deadline = Instant::now() + Duration::from_millis(value("wait_ms").unwrap_or(0).min(60_000));
            let body = loop {
                let mut world = world.lock().unwrap();
                let Some(after) = after else {
                    let list = world.whole_list();
                    break (world.told(list.list("hosts").unwrap()), list.to_string()).1;
                };
                if world.seq > after || Instant::now() >= deadline {
                    let changed = world.changes.iter().filter(|(seq, _)| *seq > after);
                    let hosts: Vec<Json> = changed.map(|(_, entry)| entry.clone()).collect();
                    let list = world.list(false, hosts.clone()).to_string();
                    world.told(&hosts);
                    break list;
                }
                drop(world);
                sleep(Duration::from_millis(5));
            };
            if !respond(&mut stream, "200 OK", &body) {
                return;
            }
        }
    });
    address
}

/// The relay.
pub fn relay(world: &Shared) -> String {
    let (listener, address) = listen();
    let on_ping = world.clone();
    spawn(move || {
        loop {
            sleep(Duration::from_secs(1));
            on_ping.lock().unwrap().news("{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}");
        }
    });
    let world = world.clone();
    serve(listener, move |mut stream| {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(read) if read > 0 => {}
                _ => return,
            }
            let call = Json::parse(&line);
            let id = call.as_ref().and_then(|call| call.number("id")).unwrap_or(0.0);
            let method = call.as_ref().and_then(|call| call.text("method")).unwrap_or_default();
            let orders = call.as_ref().and_then(|call| call.get("params")?.list("ops"));
            let answer = match (method, orders) {
                ("commit", Some(orders)) => {
                    let taken = world.lock().unwrap().commit(orders);
                    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":{taken}}}}}\n")
                }
                ("subscribe", _) => {
                    let mut world = world.lock().unwrap();
                    let mut text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n");
                    for proxy in 0..world.proxies.len() {
                        if world.proxies[proxy].joined.is_some() {
                            text += &format!("{}\n", world.hello(proxy, false));
                        }
                    }
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    world.note("the pilot subscribes to the news");
                    world.subscribers.push(stream.try_clone().unwrap());
                    drop(world);
                    // The pilot writes nothing more on this connection.
                    let _ = stream.set_read_timeout(None);
                    let _ = reader.read(&mut [0]);
                    return;
                }
                _ => format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":-32600,\"message\":\"SYNTAX\"}}}}\n"
                ),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

/// The health checks of one endpoint, at the address that discovery gives.
pub fn health(world: &Shared, name: &str) -> String {
    let (listener, address) = listen();
    let (world, name) = (world.clone(), name.to_owned());
    serve(listener, move |mut stream| {
        let condition = || {
            let world = world.lock().unwrap();
            world.endpoints.iter().find(|endpoint| endpoint.name == name).map(|e| (e.condition, e.fallen.is_some()))
        };
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if matches!(condition(), Some((Condition::Down, _)) | None) {
            return;
        }
        while let Some(_path) = read_request(&mut reader) {
            let answered = match condition() {
                Some((Condition::Up, false)) => respond(&mut stream, "200 OK", ""),
                Some((Condition::Leaving, _) | (Condition::Up, true)) => {
                    respond(&mut stream, "503 Service Unavailable", "")
                }
                _ => false,
            };
            if !answered {
                return;
            }
        }
    });
    address
}

fn frame(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let mut bytes = (text.len() as u32).to_le_bytes().to_vec();
    bytes.extend(text.bytes());
    stream.write_all(&bytes)
}

fn connect(pilot: &str) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(pilot) {
            return stream;
        }
        sleep(Duration::from_millis(100));
    }
}

/// Waits until the pilot answers a sign of life. Returns false after 30 s without one.
pub fn wait_alive(pilot: &str) -> bool {
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        if let Ok(mut stream) = TcpStream::connect(pilot) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let mut answer = [0; 20];
            if frame(&mut stream, "{\"type\":\"probe\"}").is_ok() && stream.read_exact(&mut answer).is_ok() {
                return true;
            }
        }
        sleep(Duration::from_millis(50));
    }
    false
}

/// The collectors of all zones, which report each second, late.
pub fn collectors(world: &Shared, pilot: &str) {
    let zones = world.lock().unwrap().site.zones.len();
    let (world, pilot) = (world.clone(), pilot.to_owned());
    spawn(move || {
        let open = |zone: usize| {
            let name = world.lock().unwrap().site.zones[zone];
            let mut stream = connect(&pilot);
            let _ = frame(&mut stream, &format!("{{\"type\":\"agent\",\"locality\":\"{name}\"}}"));
            stream
        };
        let mut streams: Vec<TcpStream> = (0..zones).map(open).collect();
        loop {
            sleep(Duration::from_secs(1));
            let frames = reports(&mut world.lock().unwrap());
            let mut links: Vec<TcpStream> = streams.iter().map(|stream| stream.try_clone().unwrap()).collect();
            for zone in 0..zones {
                // A stream that the pilot has closed is opened again for the next reports.
                if streams[zone].take_error().ok().flatten().is_some() {
                    streams[zone] = open(zone);
                    links[zone] = streams[zone].try_clone().unwrap();
                }
            }
            spawn(move || {
                sleep(REPORT_DELAY);
                for (zone, text) in frames {
                    let _ = frame(&mut links[zone], &text);
                }
            });
        }
    });
}

/// What the proxies of all zones met in the last second.
fn reports(world: &mut World) -> Vec<(usize, String)> {
    let mut frames = Vec::new();
    for ((zone, endpoint), sums) in std::mem::take(&mut world.met) {
        let e = &world.endpoints[endpoint];
        let good = sums.total - sums.errors;
        let rtt = if good > 0.0 { sums.time / good } else { 0.0 };
        let load = format!(
            ",\"metrics\":{{\"queue\":{},\"util\":{:.3},\"busy\":{:.3}}}",
            e.queue.floor(),
            e.utilization,
            e.utilization
        );
        frames.push((
            zone,
            format!(
                "{{\"type\":\"outcomes\",\"locality\":\"{}\",\"endpoint\":\"{}\",\"total\":{},\"errors\":{},\
                 \"rtt\":{rtt:.1},\"interval\":1000.0{}}}",
                world.site.zones[zone],
                e.name,
                sums.total,
                sums.errors,
                if good > 0.0 { load } else { String::new() }
            ),
        ));
    }
    for ((proxy, class), (total, errors)) in std::mem::take(&mut world.demand) {
        let name = world.site.classes[class].name;
        let zone = world.proxies[proxy].zone;
        frames.push((
            zone,
            format!(
                "{{\"type\":\"demand\",\"node\":{proxy},\"route\":\"{name}\",\"total\":{total},\"errors\":{errors},\
                 \"interval\":1000.0}}"
            ),
        ));
    }
    frames
}

/// The pilot, started as the deploy file says.
pub struct Pilot {
    child: Child,
    number_file: String,
}

impl Pilot {
    pub fn start(root: &str, folder: &str, run: &str, environment: &[(&str, &str)], log: &str) -> Pilot {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(root).env("TMPDIR", folder);
        command.envs(environment.iter().copied()).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().unwrap();
        // The script ends the process by this number if this program is ended.
        let number_file = format!("{folder}/pilot.pid");
        let _ = std::fs::write(&number_file, child.id().to_string());
        Pilot { child, number_file }
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.number_file);
    }
}
