//! Stand-ins and drivers of the cases of the second review.
//!
//! `stand case N FOLDER TROUBLE` plays one case with real `fireflyhoist-edge` processes on loopback
//! addresses. `stand host ...` is a replica that a case starts as a process of its own.

mod case_drain;
mod case_lapse;
mod case_plain;
mod case_stream;
mod case_upgrade;
mod client;
mod edge;
mod host;
mod http;
mod record;
mod store;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let code = match words[..] {
        ["host", ..] => host::run(&words[1..]),
        ["worker", ..] => host::work(&words[1..]),
        ["case", name, folder, trouble] => {
            let trouble = trouble != "0";
            let record = record::Record::open(folder);
            let outcome = match name {
                "stream" => case_stream::play(&record, trouble),
                "plain" => case_plain::play(&record, trouble),
                "lapse" => case_lapse::play(&record, trouble),
                "drain" => case_drain::play(&record, trouble),
                "upgrade" => case_upgrade::play(&record, trouble),
                _ => Err(format!("no case {name}")),
            };
            record.end(outcome)
        }
        _ => {
            eprintln!("usage: stand case stream|plain|lapse|drain|upgrade FOLDER TROUBLE");
            2
        }
    };
    std::process::exit(code);
}
