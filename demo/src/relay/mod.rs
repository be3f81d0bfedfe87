//! The relay, a JSON-RPC server with one JSON object per line. It applies the orders of commit calls and injects faults
//! into these calls.

mod watch_stream;

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::commit_fault::{CommitFault, SilentCallOutcome};
use crate::world::World;

/// The first bytes of a commit call, which tell it from a subscription.
const COMMIT_PREFIX: &[u8] = br#"{"jsonrpc":"2.0","id":"#;
/// The interval between two checks whether the relay is still silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A count of applied orders that is larger than the number of orders of any call.
const OVERCOUNT: usize = 1 << 30;
const MALFORMED_RESPONSE: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":\n";

/// Serves one connection until the peer or an injected fault closes it.
pub async fn serve(stream: TcpStream, world: Rc<World>) {
    let mut connection = Connection { stream: BufReader::new(stream), world };
    // An error means that the peer closed the connection, so there is nothing left to do.
    let _ = connection.serve().await;
}

/// What the relay does with a connection next.
#[derive(PartialEq)]
enum NextStep {
    Continue,
    Disconnect,
}

struct Connection {
    stream: BufReader<TcpStream>,
    world: Rc<World>,
}

impl Connection {
    async fn serve(&mut self) -> io::Result<()> {
        while self.truncate_call().await? == NextStep::Continue {
            let mut line = String::new();
            let length = self.stream.read_line(&mut line).await?;
            if length == 0 || self.world.relay_disconnects.get() {
                break;
            }
            if self.world.relay_silent.get() {
                receive_while_silent(&line, &self.world);
                std::future::pending::<()>().await;
            }
            let call: Value = serde_json::from_str(&line).unwrap_or_default();
            if call["method"] == "subscribe" {
                return watch_stream::serve(&mut self.stream, &self.world).await;
            }
            let fault = match call["method"].as_str() {
                Some("commit") => self.world.faults.borrow_mut().pop_front(),
                _ => None,
            };
            let response = respond(&call, fault, &self.world);
            if self.send(&response, fault).await? == NextStep::Disconnect {
                break;
            }
        }
        Ok(())
    }

    /// If the next fault truncates a commit call and the call has begun, reads its first bytes and returns
    /// [`NextStep::Disconnect`]. Returns [`NextStep::Continue`] otherwise.
    async fn truncate_call(&mut self) -> io::Result<NextStep> {
        let next_fault = self.world.faults.borrow().front().copied();
        let Some(CommitFault::CallTruncated(length)) = next_fault else { return Ok(NextStep::Continue) };
        if !self.stream.fill_buf().await?.starts_with(COMMIT_PREFIX) {
            return Ok(NextStep::Continue);
        }
        self.world.faults.borrow_mut().pop_front();
        self.stream.read_exact(&mut vec![0; length]).await?;
        Ok(NextStep::Disconnect)
    }

    /// Sends a response, or the part of it that the fault lets through.
    async fn send(&mut self, response: &Value, fault: Option<CommitFault>) -> io::Result<NextStep> {
        let line = format!("{response}\n").into_bytes();
        match fault {
            Some(CommitFault::DisconnectedNotApplied | CommitFault::DisconnectedApplied) => {
                return Ok(NextStep::Disconnect);
            }
            Some(CommitFault::UnansweredNotApplied | CommitFault::UnansweredApplied) => {
                std::future::pending::<()>().await;
            }
            Some(CommitFault::ResponseTruncated(length)) => {
                self.stream.write_all(&line[..length]).await?;
                return Ok(NextStep::Disconnect);
            }
            Some(CommitFault::ResponseStalled(length)) => {
                self.stream.write_all(&line[..length]).await?;
                std::future::pending::<()>().await;
            }
            Some(CommitFault::MalformedResponse) => self.stream.write_all(MALFORMED_RESPONSE).await?,
            _ => self.stream.write_all(&line).await?,
        }
        Ok(NextStep::Continue)
    }
}

/// Applies the orders of a call, unless the fault prevents it, and returns the response.
fn respond(call: &Value, fault: Option<CommitFault>, world: &World) -> Value {
    let orders = call["params"]["ops"].as_array();
    let applied = match (orders, fault) {
        (None, _) => Err("SYNTAX"),
        (_, Some(CommitFault::Busy)) => Err("BUSY"),
        (Some(_), _) if world.relay_busy.get() => Err("BUSY"),
        (_, Some(CommitFault::DisconnectedNotApplied | CommitFault::UnansweredNotApplied)) => Ok(0),
        (_, Some(CommitFault::OvercountedResponse)) => Ok(OVERCOUNT),
        (Some(orders), Some(CommitFault::ResponseWithoutId)) => Ok(orders.len()),
        (Some(orders), _) => Ok(commit(orders, world)),
    };
    let id = match fault {
        Some(CommitFault::ResponseWithoutId) => &Value::Null,
        _ => &call["id"],
    };
    match applied {
        Ok(count) => json!({"jsonrpc": "2.0", "id": id, "result": {"ok_count": count}}),
        Err(message) => json!({"jsonrpc": "2.0", "id": id, "error": {"code": -32000, "message": message}}),
    }
}

/// Applies orders up to the first that cannot be applied. Returns the number of applied orders.
fn commit(orders: &[Value], world: &World) -> usize {
    let mut affected_proxies = BTreeSet::new();
    let applied =
        orders.iter().take_while(|order| world.apply(order, &mut affected_proxies).is_some()).count();
    world.deliver(&orders[..applied], affected_proxies);
    applied
}

/// Handles a line that arrives while the relay is silent, according to the world's [`SilentCallOutcome`].
fn receive_while_silent(line: &str, world: &Rc<World>) {
    let call: Value = serde_json::from_str(line).unwrap_or_default();
    let Some(orders) = call["params"]["ops"].as_array() else { return };
    match world.silent_call_outcome.get() {
        SilentCallOutcome::NotApplied => {}
        SilentCallOutcome::Applied => {
            commit(orders, world);
        }
        SilentCallOutcome::AppliedLate(delay) => {
            spawn_local(commit_late(orders.clone(), delay, world.clone()));
        }
    }
}

/// Applies orders when `delay` has passed since the relay stopped being silent.
async fn commit_late(orders: Vec<Value>, delay: Duration, world: Rc<World>) {
    while world.relay_silent.get() {
        sleep(SILENCE_CHECK_INTERVAL).await;
    }
    sleep(delay).await;
    world.late_commits.set(world.late_commits.get() + usize::from(!orders.is_empty()));
    commit(&orders, &world);
}
