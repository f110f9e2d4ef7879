//! Help texts and argument errors of the command line.

use std::fmt::Write;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use quetzalpick_standin::command::command;

#[test]
fn help_and_argument_errors() {
    let mut session = String::new();
    for line in [
        "",
        "platform --help",
        "engine --help",
        "service --help",
        "engine --batch 0",
        "engine --listen localhost:80",
        "engine --preload menu,1",
        "platform --vm ng-1,,10.0.0.1",
        "service --name",
        "gate",
    ] {
        let words = std::iter::once("quetzalpick-standin").chain(line.split_whitespace());
        let error = command().try_get_matches_from(words).unwrap_err();
        writeln!(session, "$ quetzalpick-standin {line}\n{error}").unwrap();
    }
    insta::assert_snapshot!(session);
}

#[test]
fn process_prints_listen_address() {
    for kind in ["platform", "engine", "service"] {
        let mut process = Command::new(env!("CARGO_BIN_EXE_quetzalpick-standin"))
            .arg(kind)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = process.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let address = line.trim_end().strip_prefix("listening on ").unwrap();
        let connected = std::net::TcpStream::connect(address);
        process.kill().unwrap();
        process.wait().unwrap();
        connected.unwrap();
    }
}
