//! The program's command line and environment variables.

use std::path::PathBuf;

use clap::builder::{OsStringValueParser, TypedValueParser};
use clap::{Parser, Subcommand};

use crate::logging::LogFormat;

/// The arguments of the program.
#[derive(Parser)]
#[command(
    name = "dahliaroad",
    version,
    about = "Load balancing controller that assigns endpoints and their weights to proxies"
)]
pub struct Arguments {
    /// Operator's file (XML); without it, the defaults apply
    #[arg(long, env = "DAHLIAROAD_OPTIONS", global = true, value_name = "FILE", value_parser = path())]
    pub options: Option<PathBuf>,
    /// Platform's configuration file (JSON) of this controller instance
    #[arg(long, env = "ROUTER_CONFIG", global = true, value_name = "FILE", value_parser = path())]
    pub config: Option<PathBuf>,
    /// Format of log lines; takes precedence over the operator's file
    #[arg(long, global = true, value_enum)]
    pub log: Option<LogFormat>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Parses a path and accepts an empty one, so that an empty environment variable is not an error. [`Arguments::read`]
/// removes empty paths.
fn path() -> impl TypedValueParser<Value = PathBuf> {
    OsStringValueParser::new().map(PathBuf::from)
}

impl Arguments {
    /// Parses the program's arguments. An empty path counts as absent.
    pub fn read() -> Arguments {
        let mut arguments = Arguments::parse();
        for path in [&mut arguments.options, &mut arguments.config] {
            path.take_if(|path| path.as_os_str().is_empty());
        }
        arguments
    }
}

/// The command to run. Without a command, the program runs `serve`.
#[derive(Subcommand)]
pub enum Command {
    /// Run as a controller (the default)
    Serve,
    /// Check the operator's file (XML) or the platform's file (JSON) and print every fault
    Check { file: PathBuf },
    /// Compare two versions of a zone file and print how a controller would apply each endpoint's change
    Zone {
        old: PathBuf,
        new: PathBuf,
        /// The name of the zone
        #[arg(long)]
        apex: String,
        /// The owner of the records that list endpoints, relative to the apex
        #[arg(long)]
        service: String,
    },
    /// Follow the operator's sources as a controller would, and print the endpoint list
    Fleet {
        /// Continue to run, and print each change
        #[arg(long)]
        follow: bool,
        /// Print one JSON object per line
        #[arg(long)]
        json: bool,
        /// Maximum time to wait for the sources' first lists, in seconds
        #[arg(long, default_value_t = 10.0)]
        within: f64,
    },
}
