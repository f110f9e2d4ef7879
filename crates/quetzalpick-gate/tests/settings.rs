//! The gate's own sections of the settings file: their printed form, and the list of all problems.

use quetzalpick_gate::Settings;
use quetzalpick_node::settings::{load, print_default};

/// Returns the gate's own sections of the printed settings, and the common sections.
fn printed() -> (String, String) {
    let printed = print_default::<Settings>();
    let own = printed.find("[callers]").unwrap();
    let (common, own) = printed.split_at(own);
    (own.to_owned(), common.to_owned())
}

#[test]
fn prints_every_key_and_loads_its_own_output() {
    let (own, common) = printed();
    load::<Settings>("gate.toml", &format!("{common}{own}")).unwrap();
    insta::assert_snapshot!("default", own);
}

#[test]
fn lists_every_problem_with_its_line() {
    let (own, common) = printed();
    let bad = own
        .replace("tries_max = 4", "tries_max = 0")
        .replace("policy = \"affinity\"", "policy = \"nearest\"")
        .replace("grace_ms = 2000", "graze_ms = 2000")
        .replace("listen = \"127.0.0.1:7301\"", "listen = \"everywhere\"");
    let problems = load::<Settings>("gate.toml", &format!("{bad}\n{common}")).unwrap_err();
    insta::assert_snapshot!("problems", problems.to_string());
}
