//! Client of the relay, through which a controller reaches its proxies. Orders are sent to the relay in commit calls.
//! The relay's watch stream reports which proxies are joined and which calls they have applied.
//!
//! | file | job |
//! | --- | --- |
//! | `codec` | the JSON-RPC lines as typed messages; the only file that uses the platform's names |
//! | `connection`, `error` | a TCP connection that carries lines; the errors of an exchange with the relay |
//! | `order` | encoded orders, call stamps, and the contents of a call |
//! | `attempts` | which calls were applied, as far as acknowledgements of proxies show it |
//! | `outbox` | waiting orders: merged, split into calls, returned to the assigner |
//! | `caller`, `call_log` | one commit call and its outcome; the log lines about calls |
//! | `dispatcher` | the task that makes the calls, and probes an unreachable relay |
//! | `joined_proxies`, `watch_stream` | the set of joined proxies; the task that reads the notifications |
//! | `resubscription` | when to subscribe again because of notifications that could not be read |
//! | `health` | whether the relay is reachable, shared by the tasks of `dispatcher` and `watch_stream` |

mod attempts;
mod call_log;
mod caller;
mod codec;
mod connection;
mod dispatcher;
mod error;
mod health;
mod joined_proxies;
mod order;
mod outbox;
mod resubscription;
mod watch_stream;

use std::time::Duration;

pub use dispatcher::Dispatcher;
pub use health::RelayHealth;
pub use outbox::SharedOutbox;
pub use watch_stream::WatchStream;

/// The longest line that is accepted from the relay. Answers and notifications are far shorter.
const MAX_LINE_BYTES: usize = 64 << 10;
/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for writing a line and for reading an answer. The relay answers within 50 ms or never; the rest
/// allows for delays on the controller's own machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The first delay between attempts to reach the relay; the delay grows with each failure up to a maximum. The relay
/// limits the number of connections per controller. While the relay is cut off from the network, it does not see the
/// controller close a connection, so each attempt occupies one of these connections until it times out at the relay.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The longest delay between attempts to subscribe to the watch stream after it broke off.
const MAX_BACKOFF: Duration = Duration::from_millis(640);
