//! Settings: the printed default file, a file with every kind of problem, the command line and reloading.

use quetzalpick_node::settings::command::{
    EXIT_SETTINGS, EXIT_SUCCESS, EXIT_USAGE, Invocation, read_command_line,
};
use quetzalpick_node::settings::sections::{Log, Metrics, Peers, Platform, Vm};
use quetzalpick_node::settings::{Reader, Section, Source, load, print_default};

/// `Settings` has the sections of a typical process.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Settings {
    vm: Vm,
    platform: Platform,
    peers: Peers,
    log: Log,
    metrics: Metrics,
}

impl Section for Settings {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            vm: reader.section("vm"),
            platform: reader.section("platform"),
            peers: reader.section("peers"),
            log: reader.section("log"),
            metrics: reader.section("metrics"),
        }
    }
}

#[test]
fn printed_default_settings_are_valid() {
    let text = print_default::<Settings>();
    let settings = load::<Settings>("default.toml", &text);
    assert!(settings.is_ok(), "{settings:?}");
    insta::assert_snapshot!(text);
}

#[test]
fn all_problems_are_reported() {
    let text = r#"
extra = 1

[vm]
name = "no spaces"
domain = 7

[platform]
log = "localhost:7000"
log_retention_ms = 5
vms = "127.0.0.1:7000"

[peers]
listen = "127.0.0.1:7101"
secret = "short"
seeds = ["127.0.0.1:7102", "there"]
lease_ms = 1_000
exchange_interval_ms = 900
lease = 5

[log]
level = "loud"
levels = { "quetzalpick_gate::route" = "debug", "quetzalpick_node" = "quiet" }

metrics = 3
"#;
    let problems = load::<Settings>("gate.toml", text).unwrap_err();
    insta::assert_snapshot!(problems);
    let broken = load::<Settings>("gate.toml", "[vm\nname = 1 2").unwrap_err();
    assert!(
        broken.list.iter().any(|p| p.key == "syntax" && p.line == 1),
        "{broken}"
    );
}

#[test]
fn command_line_determines_the_exit_code() {
    let run = |arguments: &[&str]| {
        let arguments = std::iter::once("gate").chain(arguments.iter().copied());
        read_command_line::<Settings>(clap::Command::new("gate"), arguments.map(str::to_owned))
    };
    assert_eq!(run(&["--print-default"]), Invocation::Exit(EXIT_SUCCESS));
    assert_eq!(
        run(&["--settings", "/nowhere.toml"]),
        Invocation::Exit(EXIT_SETTINGS)
    );
    assert_eq!(run(&["--other"]), Invocation::Exit(EXIT_USAGE));
    assert_eq!(run(&[]), Invocation::Exit(EXIT_USAGE));
}

#[test]
fn source_returns_each_change_once() {
    let name = format!("settings-{}.toml", std::process::id());
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let write = |text: &str| std::fs::write(&file, text).unwrap();
    let first = print_default::<Settings>();
    write(&first);
    let opened = Source::<Settings>::try_open(file.to_str().unwrap());
    let (mut source, settings) = opened.unwrap();
    assert_eq!(source.try_reload().unwrap(), None);

    write(&first.replace("level = \"info\"", "level = \"warn\""));
    let changed = source.try_reload().unwrap().unwrap();
    assert_ne!(changed, settings);
    assert_eq!(source.try_reload().unwrap(), None);

    write("[vm");
    assert!(source.try_reload().is_err());
    assert_eq!(source.try_reload().unwrap(), None);

    std::fs::remove_file(&file).unwrap();
    assert!(source.try_reload().is_err());
    write(&first);
    assert_eq!(source.try_reload().unwrap(), Some(settings));
    std::fs::remove_file(&file).unwrap();
}
