//! `burn`: service-level burn over short and long windows, summed over all entry hosts.

use std::collections::BTreeMap;

use fireflyhoist_policy::burn::{Level, Reading};
use fireflyhoist_policy::id;
use fireflyhoist_wire::status::Burn;
use serde::Serialize;

use crate::Outcome;
use crate::error::Error;
use crate::flags::{self, Format};
use crate::fleet::{Fleet, Heard};
use crate::paint::{Tone, paint};
use crate::table::table;

/// The fleet's readings of one service.
pub type Readings = BTreeMap<id::Service, Vec<Reading>>;

/// One line of the report for programs.
#[derive(Debug, Serialize)]
struct Row<'a> {
    service: &'a id::Service,
    #[serde(flatten)]
    reading: &'a Reading,
    burns: [f64; 4],
    level: Level,
}

/// Adds up what each host read.
pub fn sum(reports: impl IntoIterator<Item = Burn>) -> Readings {
    let mut sum = Readings::new();
    for service in reports.into_iter().flat_map(|report| report.services) {
        let readings = sum.entry(service.service).or_default();
        for reading in &service.readings {
            match readings.iter_mut().find(|known| known.measure == reading.measure) {
                Some(known) => known.merge(reading),
                None => readings.push(*reading),
            }
        }
    }
    sum
}

pub(crate) async fn run(flags: &flags::Fleet, format: Format) -> Result<Outcome, Error> {
    let fleet = Fleet::open(flags).await?;
    let heard: Vec<Heard<Burn>> = fleet.each("/v1/burn").await?;
    let mut reports = Vec::new();
    for member in heard {
        match member.report {
            Ok(report) => reports.push(report),
            Err(error) => eprintln!("{} is not counted: {error}", member.host),
        }
    }
    let readings = sum(reports);
    match format {
        Format::Json => println!("{}", serde_json::json!(rows(&readings))),
        Format::Table => print!("{}", shown(&readings)),
    }
    let urgent = rows(&readings).iter().any(|row| row.level > Level::Ok);
    Ok(if urgent { Outcome::Finding } else { Outcome::Clean })
}

fn rows(readings: &Readings) -> Vec<Row<'_>> {
    let each = readings.iter().flat_map(|(service, readings)| {
        readings.iter().map(move |reading| Row {
            service,
            reading,
            burns: reading.burn_rates(),
            level: reading.level(),
        })
    });
    each.collect()
}

fn shown(readings: &Readings) -> String {
    let line = |row: &Row<'_>| {
        let [_, _, _, six_hours] = row.reading.windows;
        let tone = match row.level {
            Level::Ok => Tone::Good,
            Level::Slow => Tone::Warning,
            Level::Fast => Tone::Bad,
        };
        let mut line = vec![row.service.to_string(), row.reading.measure.to_string()];
        line.extend(row.burns.iter().map(|burn| format!("{burn:.2}")));
        line.push(format!("{:.3}%", six_hours.share() * 100.0));
        line.push(format!("{:.3}%", row.reading.budget * 100.0));
        line.push(paint(tone, &row.level.to_string()));
        line
    };
    let headings =
        ["service", "measure", "5 min", "30 min", "1 h", "6 h", "bad in 6 h", "may be", "level"];
    table(&headings, rows(readings).iter().map(line).collect())
}
