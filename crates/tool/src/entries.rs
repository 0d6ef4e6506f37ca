//! `entries`: which addresses callers of a workspace should use.

use fireflyhoist_policy::id;
use fireflyhoist_wire::caller::Entries;

use crate::Outcome;
use crate::error::Error;
use crate::flags::{self, Format};
use crate::fleet::Fleet;
use crate::table::table;

pub(crate) async fn run(
    flags: &flags::Fleet,
    workspace: &id::Workspace,
    format: Format,
) -> Result<Outcome, Error> {
    let fleet = Fleet::open(flags).await?;
    let entries = fleet.entries(Some(workspace)).await?;
    match format {
        Format::Json => println!("{}", serde_json::json!(entries)),
        Format::Table => print!("{}", shown(&entries)),
    }
    Ok(if entries.entries.is_empty() { Outcome::Finding } else { Outcome::Clean })
}

fn shown(entries: &Entries) -> String {
    if entries.entries.is_empty() {
        return "no entry host takes work\n".to_owned();
    }
    let row = |entry: &fireflyhoist_wire::caller::Entry| {
        vec![entry.address.to_string(), entry.host.to_string(), entry.domain.to_string()]
    };
    let rows = entries.entries.iter().map(row).collect();
    let table = table(&["address", "host", "failure domain"], rows);
    format!("{table}keep for {} s\n", entries.ttl_ms / 1_000)
}
