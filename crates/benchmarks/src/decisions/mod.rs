//! The cost of the decision module alone, without sockets: processor time and heap memory, varying one size at a
//! time.

mod arguments;
mod axis;
mod driver;
mod growth;
mod plot;
mod run;
mod size;
mod statistics;
mod text;

use std::error::Error;

use serde::Serialize;

use crate::machine::Machine;
use crate::output::write_file;

pub use arguments::{Arguments, InvalidArguments};

use driver::Load;
use growth::{Growth, growth};
use run::{Point, points};

/// All figures of a measurement.
#[derive(Serialize)]
struct Figures {
    machine: Machine,
    load: Load,
    warm_up: usize,
    rounds: usize,
    repeats: usize,
    points: Vec<Point>,
    growths: Vec<Growth>,
}

/// Measures every requested size and prints the figures. Writes them to a file and draws a plot if the options say
/// so.
///
/// # Errors
///
/// Fails with [`InvalidArguments`] before anything is measured, if runs of one seed differ, or if a file cannot be
/// written.
pub fn measure(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let machine = Machine::read();
    arguments.check(&machine)?;
    text::print_machine(&machine, arguments);
    let mut all_points = Vec::new();
    let mut growths = Vec::new();
    for &axis in &arguments.vary {
        let points = points(axis, arguments)?;
        points.iter().for_each(text::print_point);
        let growth = growth(axis, &points);
        text::print_growth(&growth);
        growths.push(growth);
        all_points.extend(points);
    }
    if let Some(path) = &arguments.plot {
        let title = format!("One decision module, {}", text::fixed_sizes(arguments));
        plot::draw(path, &title, &all_points)?;
    }
    let figures = Figures {
        machine,
        load: arguments.load(),
        warm_up: arguments.warm_up,
        rounds: arguments.rounds,
        repeats: arguments.repeats,
        points: all_points,
        growths,
    };
    if let Some(path) = &arguments.json {
        write_file(path, &serde_json::to_string_pretty(&figures)?)?;
    }
    Ok(())
}
