//! The options of the command `registry`.

use std::path::PathBuf;

use clap::{Args, ValueEnum};

/// The source of the controller's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
pub enum Source {
    /// The platform's discovery, as the baseline
    Discovery,
    /// A registry that is read by a watch stream
    Watch,
    /// A registry that is read by blocking queries
    BlockingRead,
    /// A zone file, swapped by rename for each change
    ZoneFile,
}

impl Source {
    /// Whether the source is a registry. The link to a registry can be broken.
    pub fn is_registry(self) -> bool {
        matches!(self, Source::Watch | Source::BlockingRead)
    }
}

/// The parsed options.
#[derive(Args)]
pub struct Arguments {
    /// Source of the controller's endpoint list
    #[arg(long, value_enum, default_value = "watch")]
    pub source: Source,
    /// Number of endpoints of the list
    #[arg(long, default_value_t = 1000)]
    pub endpoints: usize,
    /// Changes a second, alternately a drain and a restart
    #[arg(long, default_value_t = 10.0)]
    pub changes: f64,
    /// Seconds during which changes are made
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Changes made during each break of the connection to the registry
    #[arg(id = "in_a_gap", long = "in-a-gap", value_name = "IN_A_GAP", default_value_t = 10)]
    pub changes_during_break: usize,
    /// Controller configuration whose settings are used
    #[arg(long, default_value = "demo/controller.json")]
    pub configuration: PathBuf,
    /// Print the figures as JSON in one line
    #[arg(long)]
    pub json: bool,
}
