//! Prints the figures of a scale run: a table by size, lines for the extrapolation, and JSON last.

use super::figures::{SizeFigures, Spread};
use super::fit::{Fit, Growth, Sample, best_fit};
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

/// Daemons of the size to design for.
pub const DESIGN_SIZE: f64 = 2_000.0;

/// One row of the table.
struct Row {
    name: &'static str,
    key: &'static str,
    value: fn(&SizeFigures) -> f64,
    decimals: usize,
}

const ROWS: &[Row] = &[
    row("CPU, steady, % of a core", "cpu_percent", 3, |f| {
        f.steady.cpu_percent
    }),
    row(
        "CPU, a change every 2 s, %",
        "cpu_percent_changing",
        3,
        |f| f.changing.cpu_percent,
    ),
    row("bytes/s in+out, steady", "bytes_per_second", 0, |f| {
        f.steady.bytes()
    }),
    row("UDP bytes/s in", "udp_in", 0, |f| f.steady.udp_in),
    row("UDP bytes/s out", "udp_out", 0, |f| f.steady.udp_out),
    row("TCP bytes/s in", "tcp_in", 0, |f| f.steady.tcp_in),
    row("TCP bytes/s out", "tcp_out", 0, |f| f.steady.tcp_out),
    row("UDP packets/s in", "packets_in", 2, |f| f.steady.packets_in),
    row("UDP packets/s out", "packets_out", 2, |f| {
        f.steady.packets_out
    }),
    row(
        "bytes/s in+out, a change every 2 s",
        "bytes_per_second_changing",
        0,
        |f| f.changing.bytes(),
    ),
    row("resident MB, hollow", "resident_megabytes", 1, |f| {
        f.resident_megabytes
    }),
    row(
        "resident MB, real (largest)",
        "real_resident_megabytes",
        1,
        |f| {
            f.real
                .iter()
                .map(|real| real.resident_megabytes)
                .fold(f64::NAN, f64::max)
        },
    ),
    row("CPU, real (largest), %", "real_cpu_percent", 2, |f| {
        f.real
            .iter()
            .map(|real| real.cpu_percent)
            .fold(f64::NAN, f64::max)
    }),
    row("roots, real (largest)", "real_roots", 0, |f| {
        f.real
            .iter()
            .map(|real| real.roots as f64)
            .fold(f64::NAN, f64::max)
    }),
    row(
        "control bytes/s in+out, real (largest)",
        "real_bytes_per_second",
        0,
        |f| {
            f.real
                .iter()
                .map(|real| real.control_in + real.control_out)
                .fold(f64::NAN, f64::max)
        },
    ),
    row("change to median daemon, s", "change_median", 3, |f| {
        SizeFigures::slowest(&f.changes, |spread| spread.median)
    }),
    row("change to p99 daemon, s", "change_p99", 3, |f| {
        SizeFigures::slowest(&f.changes, |spread| spread.p99)
    }),
    row("change to last daemon, s", "change_last", 3, |f| {
        SizeFigures::slowest(&f.changes, |spread| spread.last)
    }),
    row("killed member: first, s", "detection_first", 2, |f| {
        SizeFigures::slowest(&f.detections, |spread| spread.first)
    }),
    row("killed member: median, s", "detection_median", 2, |f| {
        SizeFigures::slowest(&f.detections, |spread| spread.median)
    }),
    row("killed member: last, s", "detection_last", 2, |f| {
        SizeFigures::slowest(&f.detections, |spread| spread.last)
    }),
    row("started together: all ready, s", "ready_last", 2, |f| {
        f.ready.last
    }),
    row("started together: all know all, s", "whole_last", 2, |f| {
        f.whole.last
    }),
    row(
        "store reads/s, all readers",
        "store_reads_per_second",
        2,
        |f| f.store.reads_per_second,
    ),
    row("store readers", "store_readers", 0, |f| {
        f.store.readers as f64
    }),
    row(
        "store reads while joining",
        "store_reads_while_joining",
        0,
        |f| f.store.reads_while_joining as f64,
    ),
    row(
        "suspicions/s, all daemons",
        "suspicions_per_second",
        2,
        |f| f.steady.suspicions_all,
    ),
    row("machine busy, steady, %", "machine_busy_percent", 0, |f| {
        f.steady.machine_busy_percent
    }),
    row(
        "machine busy, changes, %",
        "machine_busy_percent_changing",
        0,
        |f| f.changing.machine_busy_percent,
    ),
];

const fn row(
    name: &'static str,
    key: &'static str,
    decimals: usize,
    value: fn(&SizeFigures) -> f64,
) -> Row {
    Row {
        name,
        key,
        value,
        decimals,
    }
}

/// A line and what it says of the size to design for.
#[derive(Debug, Clone, Serialize)]
struct Extrapolation {
    figure: &'static str,
    #[serde(flatten)]
    fit: Fit,
    at_design_size: f64,
}

#[derive(Serialize)]
struct Summary<'a> {
    sizes: &'a [SizeFigures],
    extrapolations: Vec<Extrapolation>,
}

/// Prints a size as soon as it is measured, so that a run that is cut short shows something.
pub fn print_progress(figures: &SizeFigures) -> eyre::Result<()> {
    let complete = |spreads: &[Spread]| spreads.iter().all(Spread::is_complete);
    println!(
        "{} daemons measured; changes reached all: {}, losses noticed by all: {}, joined: {}/{}",
        figures.daemons,
        complete(&figures.changes),
        complete(&figures.detections),
        figures.whole.reached,
        figures.whole.expected,
    );
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}

/// Prints the table, the lines and the JSON.
pub fn print(sizes: &[SizeFigures]) -> eyre::Result<()> {
    println!("\n{}", table(sizes));
    println!("Bytes are payload; each UDP packet adds 28 bytes of IP and UDP headers.");
    let extrapolations: Vec<Extrapolation> = ROWS
        .iter()
        .filter_map(|row| extrapolate(row, sizes))
        .collect();
    for line in &extrapolations {
        println!("{}", describe(line));
    }
    let summary = Summary {
        sizes,
        extrapolations,
    };
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}

fn table(sizes: &[SizeFigures]) -> String {
    let mut builder = Builder::default();
    let mut header = vec!["per daemon unless said otherwise".to_owned()];
    header.extend(
        sizes
            .iter()
            .map(|figures| format!("N = {}", figures.daemons)),
    );
    builder.push_record(header);
    for row in ROWS {
        let mut record = vec![row.name.to_owned()];
        let values = sizes.iter().map(row.value);
        record.extend(values.map(|value| format!("{value:.*}", row.decimals)));
        builder.push_record(record);
    }
    builder.build().with(Style::markdown()).to_string()
}

/// A size whose daemons did not all join says how the machine was overloaded, not what control
/// costs: no line goes through it.
fn extrapolate(row: &Row, sizes: &[SizeFigures]) -> Option<Extrapolation> {
    let samples: Vec<Sample> = sizes
        .iter()
        .filter(|figures| figures.whole.is_complete() && figures.ready.is_complete())
        .map(|figures| Sample {
            size: figures.daemons as f64,
            value: (row.value)(figures),
        })
        .filter(|sample| sample.value.is_finite())
        .collect();
    let fit = best_fit(&samples)?;
    Some(Extrapolation {
        figure: row.key,
        fit,
        at_design_size: fit.at(DESIGN_SIZE),
    })
}

fn describe(line: &Extrapolation) -> String {
    let abscissa = match line.fit.growth {
        Growth::Linear => "N",
        Growth::Logarithmic => "log10(N)",
    };
    format!(
        "{} = {:.4} + {:.6} * {abscissa}, residual {:.4}; extrapolated to {DESIGN_SIZE}: {:.3}",
        line.figure, line.fit.intercept, line.fit.slope, line.fit.residual, line.at_design_size
    )
}
