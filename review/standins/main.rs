//! Stand-ins of the review: the platform's store, runners, clients and the operator, and the order of events of each case.
//!
//! It uses the standard library only. The programs under test are started as processes with the command of the deploy file.

mod cases;
mod client;
mod cluster;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::process::exit;

/// Exit code if a case could not run.
const NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY-FOLDER");
        exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case={case} trouble={}", u8::from(trouble)));
    let setting = cases::Setting {
        record: record.clone(),
        temporary: temporary.clone(),
        trouble,
    };
    let outcome = match case.as_str() {
        "one" => cases::one::run(&setting),
        "revoked" => cases::revoked::run(&setting),
        "quota" => cases::quota::run(&setting),
        "out-of-step" => cases::out_of_step::run(&setting),
        "taken-up" => cases::taken_up::run(&setting),
        "incomplete" => cases::incomplete::run(&setting),
        "crashing" => cases::crashing::run(&setting),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match outcome {
        Ok(None) => (0, "held".to_owned()),
        Ok(Some(broken)) => (1, format!("broken: {broken}")),
        Err(reason) => (NOT_RUN, format!("not run: {reason}")),
    };
    record.line(&format!("result={text}"));
    println!("{text}");
    exit(code);
}
