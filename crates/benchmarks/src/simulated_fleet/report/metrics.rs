//! The figures of each controller, with their names in the output.

use crate::simulated_fleet::controller::ControllerFigures;
use crate::units::milliseconds;

/// The number of bytes of a megabyte in printed memory sizes.
pub const BYTES_PER_MB: f64 = 1_048_576.0;

/// One figure of each controller.
pub struct Metric {
    /// The key in the JSON.
    pub key: &'static str,
    /// The printed label.
    pub label: &'static str,
    /// Whether the figure is equal in each run with the same seed.
    pub repeatable: bool,
    /// Computes the figure of a controller, given the measured seconds.
    pub value: fn(&ControllerFigures, f64) -> f64,
}

/// All metrics, in the order in which they are printed.
pub const METRICS: [Metric; 10] = [
    Metric {
        key: "processor_ms_per_s",
        label: "processor time, ms a second",
        repeatable: false,
        value: |controller, seconds| milliseconds(controller.measured.processor) / seconds,
    },
    Metric {
        key: "start_up_processor_ms",
        label: "processor time of start-up, ms",
        repeatable: false,
        value: |controller, _| milliseconds(controller.start_up.processor),
    },
    Metric {
        key: "memory_mb",
        label: "heap at the end, MB",
        repeatable: false,
        value: |controller, _| controller.memory_bytes as f64 / BYTES_PER_MB,
    },
    Metric {
        key: "bytes_in_per_s",
        label: "bytes in a second",
        repeatable: true,
        value: |controller, seconds| controller.measured.bytes_in as f64 / seconds,
    },
    Metric {
        key: "bytes_out_per_s",
        label: "bytes out a second",
        repeatable: true,
        value: |controller, seconds| controller.measured.bytes_out as f64 / seconds,
    },
    Metric {
        key: "start_up_bytes_in",
        label: "bytes in of start-up",
        repeatable: true,
        value: |controller, _| controller.start_up.bytes_in as f64,
    },
    Metric {
        key: "start_up_bytes_out",
        label: "bytes out of start-up",
        repeatable: true,
        value: |controller, _| controller.start_up.bytes_out as f64,
    },
    Metric {
        key: "inputs_per_s",
        label: "inputs a second",
        repeatable: true,
        value: |controller, seconds| controller.measured.inputs as f64 / seconds,
    },
    Metric {
        key: "orders_per_s",
        label: "orders a second",
        repeatable: true,
        value: |controller, seconds| controller.measured.orders as f64 / seconds,
    },
    Metric {
        key: "relay_calls_per_s",
        label: "calls at the relay a second",
        repeatable: true,
        value: |controller, seconds| controller.measured.relay_requests as f64 / seconds,
    },
];
