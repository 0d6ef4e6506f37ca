//! `cordon`: failure domains that are to get nothing new, in a registry of the product's own.

use std::net::SocketAddr;

use fireflyhoist_policy::id;
use fireflyhoist_wire::registry::CORDONS_PATH;

use crate::Outcome;
use crate::error::Error;
use crate::flags;
use crate::fleet::Fleet;

/// Sets or lifts the cordon of a domain, or lists all cordons where none is named.
pub(crate) async fn run(
    registry: SocketAddr,
    lift: bool,
    domain: Option<&id::Domain>,
) -> Result<Outcome, Error> {
    let fleet = Fleet::open(&flags::Fleet { entries: Vec::new() }).await?;
    let Some(domain) = domain else {
        let cordoned: Vec<id::Domain> = fleet.get(registry, CORDONS_PATH).await?;
        cordoned.iter().for_each(|domain| println!("{domain}"));
        return Ok(Outcome::Clean);
    };
    fleet.operate(registry, &format!("{CORDONS_PATH}/{domain}"), lift).await?;
    let word = if lift { "lifted" } else { "cordoned" };
    println!("{domain} {word}");
    Ok(Outcome::Clean)
}
