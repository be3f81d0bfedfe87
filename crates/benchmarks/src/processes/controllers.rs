//! The controller processes. Each has a relay, proxies and collectors of its own. All of them share one discovery.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::encode_frame;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinError, JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use super::arguments::Arguments;
use super::collectors::Collectors;
use super::configuration::{Peers, configuration};
use super::discovery;
use super::endpoint_list::EndpointList;
use super::entries::entries;
use super::relay::{self, Relay};
use super::traffic::Bytes;
use crate::controller_process::{ControllerProcess, ProcessError};

/// The timeout for a controller's answer and for its first table. A controller that needs longer has failed.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The timeout for the whole start of a controller: its answer and its first table.
const WHOLE_START_TIMEOUT: Duration = Duration::from_secs(120);
/// The time between two attempts to connect.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Start-up is complete once all proxies are bound and no request came for this time.
const QUIET_PERIOD: Duration = Duration::from_millis(1500);
/// The time between two checks for the end of start-up.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The longest wait for the end of start-up.
const QUIET_TIMEOUT: Duration = Duration::from_secs(30);

/// An error of a run that gave no figures.
#[derive(Debug, Error)]
pub enum RunError {
    /// A process did not start, or cannot be measured.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fake cannot listen on its address.
    #[error(transparent)]
    Fake(#[from] io::Error),
    /// The task that starts or ends a process failed.
    #[error(transparent)]
    Task(#[from] JoinError),
    /// A controller ordered no table within the timeout.
    #[error("the controller ordered no table within {START_TIMEOUT:?}")]
    NoTable,
    /// A controller was not ready within the timeout.
    #[error("the controller did not start within {WHOLE_START_TIMEOUT:?}")]
    NoStart,
    /// A controller process that has to be measured does not run.
    #[error("the controller process does not run")]
    NotRunning,
}

/// A running controller process.
struct Running {
    process: ControllerProcess,
    address: SocketAddr,
}

/// A controller. Its configuration and its peers remain when its process ends.
pub struct Controller {
    configuration: Value,
    relay: Rc<Relay>,
    running: Option<Running>,
    reports: Option<AbortHandle>,
}

/// The times of one process's start, counted from the time at which all processes were started.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// The time until the process answered on a connection.
    pub ready: Duration,
    /// The time until the process ordered its first table.
    pub first_table: Duration,
    /// Processor time up to the first table.
    pub processor: Duration,
}

/// The resources that one process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time.
    pub processor: Duration,
    /// The peak memory, in MB.
    pub peak_memory_mb: f64,
    /// The bytes received and sent.
    pub bytes: Bytes,
}

/// The controllers of a service, and the endpoint list that they share.
pub struct Controllers {
    /// The list that discovery serves.
    pub list: Rc<EndpointList>,
    /// The controllers, in the order of their numbers.
    pub controllers: Vec<Controller>,
    arguments: Arguments,
}

/// Whether the controller at this address answers a probe on a new connection.
async fn answers_probe(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&encode_frame(&json!({"type": "probe"}))).await?;
        let mut answer = vec![0; encode_frame(&json!({"type": "alive"})).len()];
        stream.read_exact(&mut answer).await?;
        Ok::<bool, io::Error>(answer.ends_with(br#"{"type":"alive"}"#))
    };
    matches!(timeout(START_TIMEOUT, check).await, Ok(Ok(true)))
}

/// Starts a process, and waits until it answers and has ordered its first table.
async fn start(
    program: Rc<Path>,
    configuration: Value,
    relay: Rc<Relay>,
    begin: Instant,
) -> Result<(Running, StartTimes), RunError> {
    let (process, address) = ControllerProcess::start_listening(&program, &configuration).await?;
    while !answers_probe(address).await {
        sleep(RETRY_INTERVAL).await;
    }
    let ready = begin.elapsed();
    let first_table = timeout(START_TIMEOUT, relay.first_table()).await.map_err(|_| RunError::NoTable)?;
    let processor = process.precise_processor_time()?;
    let times = StartTimes { ready, first_table: first_table - begin, processor };
    Ok((Running { process, address }, times))
}

impl Controller {
    /// Returns the controller's relay.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Waits until all proxies are bound and no request came for [`QUIET_PERIOD`].
    async fn wait_until_quiet(&self, proxies: u32) {
        loop {
            let last_request = self.relay.ordered().last_request;
            let is_quiet = last_request.is_none_or(|at| at.elapsed() >= QUIET_PERIOD);
            if self.relay.bound_proxies() >= proxies as usize && is_quiet {
                return;
            }
            sleep(QUIET_CHECK_INTERVAL).await;
        }
    }

    fn running(&self) -> Result<&Running, RunError> {
        self.running.as_ref().ok_or(RunError::NotRunning)
    }
}

impl Controllers {
    /// Starts the fakes. The controller processes are not started yet.
    pub async fn new(arguments: &Arguments, endpoints: usize) -> Result<Controllers, RunError> {
        let list = Rc::new(EndpointList::new(entries(endpoints, arguments.seed)));
        let discovery = discovery::serve(list.clone()).await?;
        let mut controllers = Vec::new();
        for index in 0..arguments.processes {
            let relay = Rc::new(Relay::new(arguments.proxies, arguments.requests));
            let peers = Peers { discovery, relay: relay::serve(relay.clone()).await? };
            let configuration = configuration(arguments, index, &peers);
            controllers.push(Controller { configuration, relay, running: None, reports: None });
        }
        Ok(Controllers { list, controllers, arguments: arguments.clone() })
    }

    /// Starts all processes simultaneously, and waits for the first table of each.
    pub async fn start(&mut self, program: &Path) -> Result<Vec<StartTimes>, RunError> {
        let program: Rc<Path> = program.into();
        let begin = Instant::now();
        let spawn = |controller: &Controller| {
            let configuration = controller.configuration.clone();
            spawn_local(start(program.clone(), configuration, controller.relay.clone(), begin))
        };
        let tasks: Vec<JoinHandle<_>> = self.controllers.iter().map(spawn).collect();
        let mut all_times = Vec::new();
        for (controller, task) in self.controllers.iter_mut().zip(tasks) {
            let started = timeout(WHOLE_START_TIMEOUT, task).await.map_err(|_| RunError::NoStart)?;
            let (running, times) = started??;
            controller.running = Some(running);
            all_times.push(times);
        }
        Ok(all_times)
    }

    /// Waits until every controller has sent all orders of its start, for at most [`QUIET_TIMEOUT`] for each
    /// controller.
    pub async fn wait_until_quiet(&self) {
        for controller in &self.controllers {
            let _ = timeout(QUIET_TIMEOUT, controller.wait_until_quiet(self.arguments.proxies)).await;
        }
    }

    /// Starts the reports of the collectors.
    pub fn start_reports(&mut self) -> Result<(), RunError> {
        for controller in &mut self.controllers {
            let address = controller.running()?.address;
            let collectors = Collectors {
                relay: controller.relay.clone(),
                proxies: self.arguments.proxies,
                requests_per_proxy: self.arguments.requests,
            };
            let task = spawn_local(async move {
                if let Err(error) = collectors.report(address).await {
                    eprintln!(
                        "dahliaroad-benchmarks: collectors lost the controller and stop their reports: {error}"
                    );
                }
            });
            controller.reports = Some(task.abort_handle());
        }
        Ok(())
    }

    /// Returns the resources that each process has used. The bytes of the list are counted for all processes
    /// together, and divided evenly.
    pub fn usage(&self) -> Result<Vec<Usage>, RunError> {
        let list = self.list.traffic.counts();
        let count = self.controllers.len() as u64;
        let usage = |controller: &Controller| {
            let process = &controller.running()?.process;
            let own = controller.relay.traffic.counts();
            let bytes =
                Bytes { received: own.received + list.received / count, sent: own.sent + list.sent / count };
            let processor = process.precise_processor_time()?;
            let peak_memory_mb = process.peak_memory_mb()?;
            Ok(Usage { processor, peak_memory_mb, bytes })
        };
        self.controllers.iter().map(usage).collect()
    }

    /// Kills all processes simultaneously.
    pub async fn kill(&mut self) -> Result<(), RunError> {
        let mut tasks = Vec::new();
        for controller in &mut self.controllers {
            controller.reports.take().inspect(AbortHandle::abort);
            if let Some(running) = controller.running.take() {
                tasks.push(spawn_local(running.process.kill()));
            }
        }
        for task in tasks {
            task.await??;
        }
        self.controllers.iter().for_each(|controller| controller.relay.handle_controller_end());
        Ok(())
    }
}
