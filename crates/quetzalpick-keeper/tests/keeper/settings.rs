//! Settings: the printed defaults are valid, and all problems are reported at once.

use quetzalpick_keeper::Settings;
use quetzalpick_node::settings::{load, print_default};

#[test]
fn printed_defaults_can_be_read_back() {
    let text = print_default::<Settings>();
    insta::assert_snapshot!(text);
    load::<Settings>("keeper.toml", &text).expect("the defaults are valid");
}

#[test]
fn every_problem_is_listed() {
    let text = r#"
[vm]
name = "vm 1"
[operator]
listen = "localhost:7100"
tokens = { ada = "short" }
[place]
policy = "best"
loads_per_s = 0
loads_per_second = 2
"#;
    let problems = load::<Settings>("keeper.toml", text).expect_err("the settings are invalid");
    insta::assert_snapshot!(problems.to_string());
}
