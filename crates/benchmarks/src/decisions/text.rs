//! The printed form of the figures.

use super::arguments::Arguments;
use super::axis::Axis;
use super::driver::Load;
use super::growth::Growth;
use super::run::Point;
use super::size::Size;
use super::statistics::{Slope, Spread};
use crate::machine::Machine;

/// Prints the machine and the options that all points share.
pub fn print_machine(machine: &Machine, arguments: &Arguments) {
    let Machine { processor, cores, memory_mb, available_mb, load_average } = machine;
    println!("{processor}, {cores} cores, {memory_mb} MB of memory, {available_mb} MB available");
    println!("load average of the machine {load_average}");
    let Arguments { warm_up, rounds, repeats, .. } = arguments;
    let controllers = arguments.base().controllers;
    let Load { seed, cross_zone_price, reporting_zones } = arguments.load();
    println!(
        "{controllers} pilots, crossing price {cross_zone_price}, {reporting_zones} reporting zones, seed {seed}"
    );
    println!("{repeats} runs of {rounds} rounds after {warm_up} warm-up rounds, on one thread");
    println!("processor time in ms: median (least to most); heap memory in MB");
}

/// Prints the figures of one size.
pub fn print_point(point: &Point) {
    let Size { endpoints, proxies, classes, zones, .. } = point.size;
    println!("{endpoints} endpoints, {proxies} proxies, {classes} classes, {zones} zones:");
    print_spread("list", point.list_ms);
    print_spread("joins", point.joins_ms);
    print_spread("round", point.round_ms);
    print_spread("endpoint reports", point.endpoint_reports_ms);
    print_spread("demand reports", point.demand_reports_ms);
    print_spread("acknowledgements", point.acknowledgements_ms);
    print_spread("timers", point.timers_ms);
    let Point { peak_heap_mb, held_heap_mb, .. } = point;
    println!("  {:<18} {peak_heap_mb:>10.3} (held at the end: {held_heap_mb:.3})", "peak heap");
    println!("  {:?}", point.counts);
}

fn print_spread(name: &str, spread: Spread) {
    let Spread { least, median, most } = spread;
    println!("  {name:<18} {median:>10.3} ({least:.3} to {most:.3})");
}

/// Prints the growth exponents of the figures with one size.
pub fn print_growth(growth: &Growth) {
    println!("exponents by {}:", growth.varied.name());
    for Slope { figure, from, to, exponent } in &growth.slopes {
        println!("  {figure:<18} {from:>6} to {to:>6}: {exponent:.2}");
    }
}

/// Returns the sizes that are not varied, for the title of a plot.
pub fn fixed_sizes(arguments: &Arguments) -> String {
    let base = arguments.base();
    let fixed = Axis::ALL.into_iter().filter(|axis| !arguments.vary.contains(axis));
    let fixed: Vec<String> = fixed.map(|axis| format!("{} {}", axis.value(base), axis.name())).collect();
    let Load { cross_zone_price, reporting_zones, .. } = arguments.load();
    format!(
        "{}, {} pilots, crossing price {cross_zone_price}, {reporting_zones} reporting zones",
        fixed.join(", "),
        base.controllers
    )
}
