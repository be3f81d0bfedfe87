//! The bounded channel on which the peers' tasks send inputs to the runtime.

use std::time::Duration;

use dahliaroad::Orders;
use tokio::sync::mpsc;

use crate::runtime::Runtime;

/// The number of inputs that can wait in the channel. It exceeds the load reports of one second, so that a burst of reports
/// does not slow its collector down.
const CAPACITY: usize = 1024;

/// An input from a peer's task. The event loop calls it with the runtime and the turn's time since 1970; it returns the
/// assigner's orders in response.
pub type Input = Box<dyn FnOnce(&mut Runtime, Duration) -> Orders>;

/// The sending side of the channel, for the peers' tasks.
#[derive(Clone)]
pub struct Inbox(mpsc::Sender<Input>);

impl Inbox {
    /// Creates an inbox, and the receiver that [`run`](crate::run) takes inputs from.
    pub fn channel() -> (Inbox, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        (Inbox(sender), receiver)
    }

    /// Sends an input. While the channel is full, this suspends the caller's task, which then reads nothing from its peer.
    /// The tasks of the relay's watch stream and of the dispatcher of orders may therefore consider the relay silent and
    /// pause orders although the relay is sending. For collectors the only effect is that their connections are read later.
    pub async fn send(&self, input: Input) {
        // Sending fails only without a receiver, and the receiver lives as long as the program.
        let _ = self.0.send(input).await;
    }
}
