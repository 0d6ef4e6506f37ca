//! Encodes texts as lines of JSON, the form in which entries send them to each other.
//!
//! There is one line a service, workspace and route. Sections are cut between lines, so a change of
//! one route moves only the sections around its line. See `fireflyhoist_text::section`.

use derive_more::{Display, Error};
use fireflyhoist_policy::route::{Bounds, Route, Service, Text, Workspace};
use serde::{Deserialize, Serialize};

/// One line of a text: encoded from borrowed parts, decoded into owned ones.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line<S, W, R> {
    /// The first line.
    Head {
        revision: u64,
        bounds: Bounds,
    },
    Service(S),
    Workspace(W),
    Route(R),
}

type OwnedLine = Line<Service, Workspace, Route>;

/// Why lines are not a valid text.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum EncodingError {
    /// A line cannot be decoded.
    #[display("line {number} is unreadable ({reason}); run the same release on every entry")]
    Line { number: usize, reason: String },
    /// The first line is not the head, or another line is.
    #[display("no head in the first line; run the same release on every entry")]
    MissingHead,
}

/// Encodes a text; equal texts give equal bytes on every entry.
pub(crate) fn encode(text: &Text) -> String {
    let head = Line::Head { revision: text.revision, bounds: text.bounds };
    let services = text.services.iter().map(Line::Service);
    let workspaces = text.workspaces.iter().map(Line::Workspace);
    let routes = text.routes.iter().map(Line::Route);
    let mut encoded = String::new();
    for line in std::iter::once(head).chain(services).chain(workspaces).chain(routes) {
        encoded.push_str(&serde_json::to_string(&line).expect("names, numbers and lists are JSON"));
        encoded.push('\n');
    }
    encoded
}

/// Decodes the output of [`encode`].
pub(crate) fn decode(encoded: &str) -> Result<Text, EncodingError> {
    let mut lines = encoded.lines().zip(1..).map(|(line, number)| {
        let line = serde_json::from_str::<OwnedLine>(line);
        line.map_err(|error| EncodingError::Line { number, reason: error.to_string() })
    });
    let Some(Line::Head { revision, bounds }) = lines.next().transpose()? else {
        return Err(EncodingError::MissingHead);
    };
    let (services, workspaces, routes) = (Vec::new(), Vec::new(), Vec::new());
    let mut text = Text { revision, routes, services, workspaces, bounds };
    for line in lines {
        match line? {
            Line::Head { .. } => return Err(EncodingError::MissingHead),
            Line::Service(service) => text.services.push(service),
            Line::Workspace(workspace) => text.workspaces.push(workspace),
            Line::Route(route) => text.routes.push(route),
        }
    }
    Ok(text)
}
