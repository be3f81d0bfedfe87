//! Commit calls: one at a time, so that orders arrive in the order in which they were given.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::interface::Orders;
use dahliaroad_host::Inbox;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::Value;
use tokio::time::{Instant, sleep_until};

use super::outbox::{Batch, Order, Outbox, Target};
use super::{ANSWER_WITHIN, FIRST_PAUSE, LONGEST_PAUSE, Link, unreadable};
use crate::counters;
use crate::logging::shown;
use crate::pause::Pause;
use crate::reload::Address;

/// The relay closes idle connections, at some moment up to 10 s: one used just now is still good.
const REUSED_WITHIN: Duration = Duration::from_secs(1);

/// Between tries of what the relay stopped at: an endpoint that it has not heard of is heard of within seconds, or not
/// one of its own.
const LONGEST_ASIDE: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Answer {
    id: Option<u64>,
    result: Option<Taken>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct Taken {
    ok_count: usize,
}

/// What is known of a call afterwards.
enum Outcome {
    /// So many of its orders stand.
    Taken(usize),
    /// Not begun, and for now not wanted.
    Busy,
    /// Not begun, as the relay could not read it. Which order was to blame, if any, it does not say.
    Unread,
    /// The relay could not be reached.
    Unsent,
    /// Carried out or not.
    Unsure(String),
}

struct Caller {
    address: Address,
    link: Option<Link>,
    id: u64,
}

impl Caller {
    async fn relay(&mut self, orders: &[Order]) -> Outcome {
        let fresh = |link: &Link| link.used.elapsed() < REUSED_WITHIN && link.is_quiet();
        let (address, old) = (self.address.now(), self.link.take().filter(fresh));
        let link = match old {
            Some(link) if link.address == address => Some(link),
            // Where the relay has moved, the old way is good until the new one is up.
            old => {
                counters::MOVES.add(usize::from(old.is_some()));
                Link::open(address).await.ok().or(old)
            }
        };
        let Some(mut link) = link else { return Outcome::Unsent };
        self.id += 1;
        let id = self.id;
        let mut call = format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"commit","params":{{"ops":["#);
        call.reserve(orders.iter().map(|(_, written)| written.bytes.len() + 1).sum());
        let mut call = call.into_bytes();
        for (place, (_, written)) in orders.iter().enumerate() {
            call.extend_from_slice(if place > 0 { b"," } else { b"" });
            call.extend_from_slice(&written.bytes);
        }
        call.extend_from_slice(b"]}}\n");
        counters::CALLS.add(1);
        counters::ORDERS.add(orders.len());
        match self.answer(&mut link, &call, orders.len()).await {
            Ok(outcome) => {
                self.link = Some(link);
                outcome
            }
            Err(error) => Outcome::Unsure(error.to_string()),
        }
    }

    /// An answer that cannot be one to this call is none: what became of the call is not known then.
    async fn answer(&self, link: &mut Link, call: &[u8], orders: usize) -> io::Result<Outcome> {
        link.write(call).await?;
        let line = link.read(ANSWER_WITHIN).await?;
        let answer: Answer = serde_json::from_slice(line).map_err(|_| unreadable(line))?;
        let says = |word: &str| answer.error.as_ref().is_some_and(|error| error.to_string().contains(word));
        match answer {
            Answer { id, .. } if id.is_some_and(|id| id != self.id) => Err(unreadable(line)),
            Answer { id: Some(_), result: Some(Taken { ok_count }), error: None } if ok_count <= orders => {
                Ok(Outcome::Taken(ok_count))
            }
            Answer { result: Some(_), .. } => Err(unreadable(line)),
            _ if says("BUSY") => Ok(Outcome::Busy),
            _ if says("SYNTAX") => Ok(Outcome::Unread),
            _ => Err(unreadable(line)),
        }
    }
}

/// The orders' way out.
struct Courier {
    outbox: Rc<Outbox>,
    inbox: Inbox,
    pause: Pause,
    /// Before what was put aside is tried again, and when it is.
    aside: Pause,
    aside_until: Instant,
    /// Orders in a call: fewer after one that could not be read, until the one that cannot be is alone.
    most: usize,
}

impl Courier {
    fn put_aside(&mut self, order: Order) {
        if !self.outbox.has_aside() {
            self.aside_until = Instant::now() + self.aside.draw();
        }
        self.outbox.put_aside(order);
    }

    /// Sees to it that what the proxies hold comes to agree with what was ordered, whatever became of a call.
    async fn book(&mut self, mut batch: Batch, outcome: Outcome) {
        let outbox = self.outbox.clone();
        if !matches!(outcome, Outcome::Unread) {
            self.most = usize::MAX;
        }
        match outcome {
            Outcome::Taken(count) if count >= batch.orders.len() => {
                counters::TAKEN.add(1);
                self.pause.reset();
            }
            // It may take that one later: an endpoint that it has not heard of yet. The others need not wait.
            Outcome::Taken(count) => {
                counters::SHORT.add(1);
                outbox.put_back(batch.orders.split_off(count + 1));
                let stopped = batch.orders.swap_remove(count);
                tracing::warn!("relay: stopped at {}", shown(&stopped.1.bytes));
                if stopped.1.again {
                    self.put_aside(stopped);
                }
            }
            // Halved until what cannot be read is alone, which then waits apart: none is given up, as it may be the
            // relay that is at fault.
            Outcome::Unread => {
                counters::UNREAD.add(1);
                let count = batch.orders.iter().filter(|(target, _)| *target != Target::Mark).count();
                tracing::warn!("relay: a call of {count} orders was not read");
                self.most = (count / 2).max(1);
                if count == 1 {
                    self.put_aside(batch.orders.swap_remove(0));
                }
                outbox.put_back(batch.orders);
                if count > 1 {
                    self.pause.reset();
                }
                self.pause.take().await;
            }
            Outcome::Busy => {
                counters::BUSY.add(1);
                outbox.put_back(batch.orders);
                self.pause.reset();
                self.pause.take().await;
            }
            Outcome::Unsent => {
                outbox.put_back(batch.orders);
                self.pause.take().await;
            }
            Outcome::Unsure(_) if outbox.proved() => counters::TAKEN.add(1),
            // Repeated at once: setting the same again changes nothing but for the messages it costs.
            Outcome::Unsure(error) => {
                counters::UNSURE.add(1);
                tracing::warn!("relay: a call is repeated: {error}");
                let mark = batch.mark;
                outbox.put_back_doubtful(batch);
                if let Some(mark) = mark {
                    self.inbox
                        .tell(Box::new(move |controller, now| {
                            controller.pilot.orders_repeated(now, mark);
                            Orders::default()
                        }))
                        .await;
                }
                self.pause.take().await;
            }
        }
    }
}

pub async fn carry_out(address: Address, outbox: Rc<Outbox>, inbox: Inbox, chance: ChaCha8Rng) {
    let mut caller = Caller { address, link: None, id: 0 };
    let pause = |longest| Pause::new(FIRST_PAUSE, longest, chance.clone());
    let mut courier = Courier {
        outbox: outbox.clone(),
        inbox,
        pause: pause(LONGEST_PAUSE),
        aside: pause(LONGEST_ASIDE),
        aside_until: Instant::now(),
        most: usize::MAX,
    };
    loop {
        tokio::select! {
            () = outbox.filled() => {}
            () = sleep_until(courier.aside_until), if outbox.has_aside() => outbox.recall(),
        }
        while let Some(batch) = outbox.take_call(courier.most) {
            let outcome = caller.relay(&batch.orders).await;
            courier.book(batch, outcome).await;
        }
        if !outbox.has_aside() {
            courier.aside.reset();
        }
    }
}
