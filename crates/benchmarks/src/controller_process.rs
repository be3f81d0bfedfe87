//! The controller as a process, and its resource usage from `/proc`.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::num::{ParseFloatError, ParseIntError};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::task::spawn_local;

/// Clock ticks per second: Linux counts processor time in `/proc` in ticks.
const TICKS_PER_SECOND: f64 = 100.0;
/// The indices of user and system time in `/proc/PID/stat`, counted from the first field after the process's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const KB_PER_MB: f64 = 1024.0;

/// An error while starting a controller process or reading its resource usage.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The controller program is not in the directory of this program.
    #[error("{}: the controller program is not built; run cargo build --release", program.display())]
    NotBuilt {
        /// The path at which the program is expected.
        program: PathBuf,
    },
    /// The system did not start the program.
    #[error("{}: cannot start the controller: {source}", program.display())]
    NotStarted {
        /// The program.
        program: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The process has no standard error to read.
    #[error("the controller process has no standard error")]
    NoStandardError,
    /// The process ended before it listened.
    #[error("the controller process ended before it logged its address")]
    EndedEarly,
    /// The first line of the log has no address.
    #[error("the first line of the controller's log has no address: {line}")]
    NotListening {
        /// The first line.
        line: String,
    },
    /// The process has ended.
    #[error("the controller process ended")]
    Ended,
    /// A file of `/proc` does not have the expected format.
    #[error("/proc of the controller process: cannot parse {file}")]
    Unreadable {
        /// The name of the file or of its field.
        file: &'static str,
    },
    /// A file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A field of `/proc` is not a number.
    #[error(transparent)]
    Float(#[from] ParseFloatError),
    /// A field of `/proc` is not an integer.
    #[error(transparent)]
    Integer(#[from] ParseIntError),
}

/// A running controller process. Dropping it kills the process and removes its files.
pub struct ControllerProcess {
    process: Child,
    files: Vec<PathBuf>,
}

/// Writes a temporary file for the process. Each file has a name of its own.
fn write_temporary_file(name: &str, text: &str) -> io::Result<PathBuf> {
    thread_local! {
        static WRITTEN: Cell<usize> = const { Cell::new(0) };
    }
    WRITTEN.set(WRITTEN.get() + 1);
    let name = format!("dahliaroad-benchmarks-{}-{}-{name}", std::process::id(), WRITTEN.get());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Returns the path of the controller program that is built together with this program.
pub fn program() -> Result<PathBuf, ProcessError> {
    let program = std::env::current_exe()?.with_file_name("dahliaroad");
    if !program.exists() {
        return Err(ProcessError::NotBuilt { program });
    }
    Ok(program)
}

/// Reads the address from the first line of the program's log. Later lines are read and discarded, so that the
/// program never blocks while it writes its log.
async fn listening_address(stderr: ChildStderr) -> Result<SocketAddr, ProcessError> {
    let mut lines = BufReader::new(stderr).lines();
    let line = lines.next_line().await?.ok_or(ProcessError::EndedEarly)?;
    let address = line.rsplit(' ').next().and_then(|address| address.parse().ok());
    let address = address.ok_or(ProcessError::NotListening { line })?;
    spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    Ok(address)
}

impl ControllerProcess {
    /// Starts the program in the directory of this program. `options` is the text of the operator's file, if there is
    /// one.
    pub fn start(configuration: &Value, options: Option<&str>) -> Result<ControllerProcess, ProcessError> {
        ControllerProcess::spawn(&program()?, configuration, options, Stdio::null())
    }

    /// Starts any build of the program. Returns the process and its listening address.
    pub async fn start_listening(
        program: &Path,
        configuration: &Value,
    ) -> Result<(ControllerProcess, SocketAddr), ProcessError> {
        let mut controller = ControllerProcess::spawn(program, configuration, None, Stdio::piped())?;
        let stderr = controller.process.stderr.take().ok_or(ProcessError::NoStandardError)?;
        let address = listening_address(stderr).await?;
        Ok((controller, address))
    }

    fn spawn(
        program: &Path,
        configuration: &Value,
        options: Option<&str>,
        stderr: Stdio,
    ) -> Result<ControllerProcess, ProcessError> {
        let mut files = vec![write_temporary_file("pilot.json", &configuration.to_string())?];
        let mut command = Command::new(program);
        command.env("ROUTER_CONFIG", &files[0]).env_remove("DAHLIAROAD_OPTIONS");
        command.stdout(Stdio::null()).stderr(stderr).kill_on_drop(true);
        if let Some(text) = options {
            files.push(write_temporary_file("options.xml", text)?);
            command.env("DAHLIAROAD_OPTIONS", &files[1]);
        }
        let process = command
            .spawn()
            .map_err(|source| ProcessError::NotStarted { program: program.to_owned(), source })?;
        Ok(ControllerProcess { process, files })
    }

    /// Kills the process, and waits until it has ended.
    pub async fn kill(mut self) -> Result<(), ProcessError> {
        Ok(self.process.kill().await?)
    }

    fn proc_directory(&self) -> Result<PathBuf, ProcessError> {
        let id = self.process.id().ok_or(ProcessError::Ended)?;
        Ok(Path::new("/proc").join(id.to_string()))
    }

    fn read_proc(&self, file: &str) -> Result<String, ProcessError> {
        Ok(std::fs::read_to_string(self.proc_directory()?.join(file))?)
    }

    /// Returns the processor time that the process has used, in steps of 10 ms.
    pub fn processor_time(&self) -> Result<Duration, ProcessError> {
        let stat = self.read_proc("stat")?;
        // The process's name in parentheses may itself have spaces and parentheses, so fields are counted after it.
        let (_, rest) = stat.rsplit_once(')').ok_or(ProcessError::Unreadable { file: "stat" })?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user = fields[USER_TIME_FIELD].parse::<f64>()?;
        let system = fields[SYSTEM_TIME_FIELD].parse::<f64>()?;
        Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
    }

    /// Returns the processor time that the current threads have used, in nanoseconds if the scheduler counts them.
    /// Otherwise returns [`Self::processor_time`].
    pub fn precise_processor_time(&self) -> Result<Duration, ProcessError> {
        let mut sum = Duration::ZERO;
        for thread in std::fs::read_dir(self.proc_directory()?.join("task"))? {
            let Ok(text) = std::fs::read_to_string(thread?.path().join("schedstat")) else {
                return self.processor_time();
            };
            let nanoseconds =
                text.split_whitespace().next().ok_or(ProcessError::Unreadable { file: "schedstat" })?;
            sum += Duration::from_nanos(nanoseconds.parse()?);
        }
        Ok(sum)
    }

    /// Returns the peak resident memory of the process, in MB.
    pub fn peak_memory_mb(&self) -> Result<f64, ProcessError> {
        let status = self.read_proc("status")?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.ok_or(ProcessError::Unreadable { file: "VmHWM" })?;
        let kilobytes = peak.trim().trim_end_matches("kB").trim().parse::<f64>()?;
        Ok(kilobytes / KB_PER_MB)
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        for file in &self.files {
            // The file may already be removed.
            let _ = std::fs::remove_file(file);
        }
    }
}
