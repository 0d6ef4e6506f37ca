//! What is kept of a seed that broke a promise: plan, evidence, and a plot of the timeline.

use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::ledger::{End, Ledger};
use crate::plan::Plan;

/// Pixels a second of the plot.
const SCALE: f64 = 30.0;

/// Height of a row of the plot in pixels.
const ROW: f64 = 14.0;

/// Time that one bar of the plot stands for.
const BUCKET: Duration = Duration::from_millis(500);

/// Writes everything below `directory`, beside the logs of the processes.
pub(crate) fn write(
    directory: &Path,
    plan: &Plan,
    seen: &Ledger,
    verdict: &Verdict,
) -> io::Result<()> {
    let plan_text = serde_json::to_string_pretty(plan).map_err(io::Error::other)?;
    std::fs::write(directory.join("plan.json"), plan_text)?;
    let asked = serde_json::to_string(&seen.asked).map_err(io::Error::other)?;
    std::fs::write(directory.join("asked.json"), asked)?;
    let arrivals = serde_json::to_string(&seen.arrivals).map_err(io::Error::other)?;
    std::fs::write(directory.join("arrivals.json"), arrivals)?;
    if !seen.rolls.requests.is_empty() {
        let rolled: Vec<_> =
            seen.rolls.requests.iter().map(|rolled| (rolled, seen.rolls.outcome(rolled))).collect();
        let rolled = serde_json::to_string(&rolled).map_err(io::Error::other)?;
        std::fs::write(directory.join("rolled.json"), rolled)?;
    }
    std::fs::write(directory.join("verdict.txt"), format!("{verdict}\n"))?;
    std::fs::write(directory.join("timeline.svg"), plot(plan, seen, verdict))
}

/// Bars of requests by how they ended, faults as rows below, violations as lines across.
fn plot(plan: &Plan, seen: &Ledger, verdict: &Verdict) -> String {
    let end = seen.asked.iter().map(|asked| asked.to).max().unwrap_or(plan.end);
    let width = end.as_secs_f64() * SCALE;
    let height = 120.0 + ROW * plan.faults.len() as f64;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width:.0}\" height=\"{height:.0}\" \
         font-family=\"sans-serif\" font-size=\"10\">\n"
    );
    let buckets = end.as_millis() / BUCKET.as_millis() + 1;
    for bucket in 0..buckets {
        let at =
            |asked: &&crate::ledger::Asked| asked.to.as_millis() / BUCKET.as_millis() == bucket;
        let ended: Vec<&End> = seen.asked.iter().filter(at).map(|asked| &asked.end).collect();
        let served = ended.iter().filter(|end| ***end == End::Status(200)).count() as f64;
        let other = ended.len() as f64 - served;
        let left = bucket as f64 * BUCKET.as_secs_f64() * SCALE;
        let bar = BUCKET.as_secs_f64() * SCALE - 1.0;
        let top = 100.0 - served;
        rect(&mut svg, (left, top), (bar, served), "#4a8");
        rect(&mut svg, (left, top - other), (bar, other), "#d95");
    }
    for (row, planned) in plan.faults.iter().enumerate() {
        let top = 110.0 + ROW * row as f64;
        let left = planned.at.as_secs_f64() * SCALE;
        rect(&mut svg, (left, top), (planned.span.as_secs_f64() * SCALE, ROW - 3.0), "#99c");
        let text = format!("{:?}", planned.fault);
        let _ = writeln!(svg, "<text x=\"{left:.0}\" y=\"{:.0}\">{text}</text>", top + 9.0);
    }
    for violation in &verdict.violations {
        let left = violation.at.as_secs_f64() * SCALE;
        rect(&mut svg, (left, 0.0), (1.0, height), "#c00");
    }
    svg.push_str("</svg>\n");
    svg
}

fn rect(svg: &mut String, (x, y): (f64, f64), (width, height): (f64, f64), fill: &str) {
    // Writing to a string does not fail.
    let _ = writeln!(
        svg,
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" \
         fill=\"{fill}\"/>"
    );
}
