//! The pilot as a process, and what the system says it has used.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::process::{Child, Command};

type Res<T> = Result<T, Box<dyn Error>>;

/// Of Linux, in which `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

pub struct Pilot {
    process: Child,
    files: Vec<PathBuf>,
}

/// A file that goes with the process.
fn write(name: &str, text: &str) -> Res<PathBuf> {
    let path = std::env::temp_dir().join(format!("dahliaroad-measure-{}-{name}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

impl Pilot {
    /// The program beside this one, with an operator's file if there is a text of one.
    pub fn start(configuration: &Value, options: Option<&str>) -> Res<Pilot> {
        let program = std::env::current_exe()?.with_file_name("dahliaroad");
        if !program.exists() {
            return Err(format!("{}: not built: cargo build --release", program.display()).into());
        }
        let mut files = vec![write("pilot.json", &configuration.to_string())?];
        let mut command = Command::new(program);
        command.env("ROUTER_CONFIG", &files[0]).stderr(Stdio::null()).kill_on_drop(true);
        if let Some(text) = options {
            files.push(write("options.xml", text)?);
            command.env("DAHLIAROAD_OPTIONS", &files[1]);
        }
        Ok(Pilot { process: command.spawn()?, files })
    }

    fn proc(&self, file: &str) -> Res<String> {
        let id = self.process.id().ok_or("the pilot ended")?;
        Ok(std::fs::read_to_string(Path::new("/proc").join(id.to_string()).join(file))?)
    }

    /// Processor time used so far.
    pub fn processor(&self) -> Res<Duration> {
        let stat = self.proc("stat")?;
        // The name in parentheses may hold anything; user and system time are the 12th and 13th behind it.
        let rest = stat.rsplit_once(')').ok_or("unreadable stat")?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
    }

    /// The most memory it ever held, in MB.
    pub fn peak_memory(&self) -> Res<f64> {
        let status = self.proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).ok_or("no VmHWM")?;
        Ok(line.trim().trim_end_matches("kB").trim().parse::<f64>()? / 1024.0)
    }
}

impl Drop for Pilot {
    fn drop(&mut self) {
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}
