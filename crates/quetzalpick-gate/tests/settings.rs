//! The settings file: its printed form, and the list of everything that is wrong with one.

use quetzalpick_gate::Settings;
use quetzalpick_node::settings::{load, print_default};

#[test]
fn prints_every_key_and_takes_what_it_printed() {
    let printed = print_default::<Settings>();
    load::<Settings>("gate.toml", &printed).unwrap();
    insta::assert_snapshot!("default", printed);
}

#[test]
fn lists_every_problem_with_its_line() {
    let good = print_default::<Settings>();
    let bad = good
        .replace("tries_max = 4", "tries_max = 0")
        .replace("policy = \"affinity\"", "policy = \"nearest\"")
        .replace("grace_ms = 2000", "graze_ms = 2000")
        .replace("name = \"vm-1\"", "name = \"a b\"");
    let problems = load::<Settings>("gate.toml", &bad).unwrap_err();
    insta::assert_snapshot!("problems", problems.to_string());
}
