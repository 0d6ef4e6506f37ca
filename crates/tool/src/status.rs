//! `status`: members, their versions, and targets that are not in use.

use std::collections::BTreeMap;

use fireflyhoist_wire::status::{Status, Target};
use serde::Serialize;

use crate::Outcome;
use crate::error::Error;
use crate::flags::{self, Format};
use crate::fleet::{Fleet, Heard};
use crate::paint::{Tone, paint};
use crate::table::table;

/// One member for programs.
#[derive(Debug, Serialize)]
struct Row {
    host: String,
    address: std::net::SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

pub(crate) async fn run(flags: &flags::Fleet, format: Format) -> Result<Outcome, Error> {
    let fleet = Fleet::open(flags).await?;
    let heard: Vec<Heard<Status>> = fleet.each("/v1/status").await?;
    let findings = findings(&heard);
    match format {
        Format::Json => {
            let rows: Vec<Row> = heard.into_iter().map(row).collect();
            println!("{}", serde_json::json!(rows));
        }
        Format::Table => {
            print!("{}\n{}", members(&heard), targets(&heard));
            for finding in &findings {
                println!("{}", paint(Tone::Bad, finding));
            }
        }
    }
    Ok(if findings.is_empty() { Outcome::Clean } else { Outcome::Finding })
}

fn row(heard: Heard<Status>) -> Row {
    let (status, error) = match heard.report {
        Ok(status) => (Some(status), None),
        Err(error) => (None, Some(error)),
    };
    Row { host: heard.host, address: heard.address, status, error }
}

fn version(status: &Status) -> String {
    let in_force = status.in_force.as_ref();
    in_force.map_or_else(|| "none".to_owned(), |in_force| in_force.version.to_string())
}

fn members(heard: &[Heard<Status>]) -> String {
    let row = |heard: &Heard<Status>| {
        let (domain, state, version, open) = match &heard.report {
            Ok(status) => {
                let state = if status.leaving { "leaving" } else { "live" };
                (status.domain.to_string(), state, version(status), status.open.to_string())
            }
            Err(_) => (String::new(), "silent", String::new(), String::new()),
        };
        vec![heard.host.clone(), domain, heard.address.to_string(), state.to_owned(), version, open]
    };
    let headings = ["host", "failure domain", "address", "state", "version", "open"];
    table(&headings, heard.iter().map(row).collect())
}

/// Each target once, with why it is not in use and how many members say so.
fn targets(heard: &[Heard<Status>]) -> String {
    let mut seen: BTreeMap<(&str, &str), (&Target, Vec<String>)> = BTreeMap::new();
    for status in heard.iter().filter_map(|heard| heard.report.as_ref().ok()) {
        for target in &status.targets {
            let key = (target.service.as_str(), target.name.as_str());
            let (_, reasons) = seen.entry(key).or_insert_with(|| (target, Vec::new()));
            let reason = target.unused.as_ref();
            reasons.extend(reason.map(|reason| format!("{} says: {reason}", status.host)));
        }
    }
    let rows = seen.into_values().map(|(target, reasons)| {
        let state = match reasons.first() {
            None => "in use".to_owned(),
            Some(first) if reasons.len() == 1 => first.clone(),
            Some(first) => format!("{first}, and {} more", reasons.len() - 1),
        };
        vec![target.service.to_string(), target.name.to_string(), target.host.to_string(), state]
    });
    table(&["service", "target", "host", "state"], rows.collect())
}

/// What an operator should look at.
fn findings(heard: &[Heard<Status>]) -> Vec<String> {
    let newest = heard.iter().filter_map(|h| h.report.as_ref().ok()?.in_force.as_ref());
    let newest = newest.max_by(|a, b| (a.revision, &a.version).cmp(&(b.revision, &b.version)));
    let mut findings = Vec::new();
    for member in heard {
        match &member.report {
            Err(error) => findings.push(format!("{}: {error}", member.host)),
            Ok(status) => {
                if let Some(reason) = &status.refused {
                    findings
                        .push(format!("{}: the published text is refused: {reason}", member.host));
                }
                if status.in_force.as_ref() != newest {
                    findings.push(format!("{} lags: {}", member.host, version(status)));
                }
            }
        }
    }
    findings
}
