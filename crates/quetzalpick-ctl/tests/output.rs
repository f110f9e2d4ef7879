//! Snapshots of the help, of replies in both output formats and of exit codes; only digests of keys are sent.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use quetzalpick_core::id::{Offset, Revision};
use quetzalpick_ctl::{Exit, Line, Output, command, render};
use quetzalpick_language::{Reply, Table};

/// Returns replies of every kind.
fn replies() -> Vec<Reply> {
    let mut table = Table::new(&["workspace", "rate", "burst", "limited"]);
    table.push(vec![
        "lagos".into(),
        500_u64.into(),
        8000_u64.into(),
        true.into(),
    ]);
    table.push(vec![
        "boyaca".into(),
        70_u64.into(),
        900_u64.into(),
        false.into(),
    ]);
    let id = "0000000000000007000000000000002a".to_owned();
    vec![
        Reply::Table {
            revision: Revision(4),
            table,
        },
        Reply::Table {
            revision: Revision(4),
            table: Table::new(&["workspace"]),
        },
        Reply::Accepted {
            command: id.clone(),
            revision: Revision(5),
            offset: Offset(31),
        },
        Reply::Rejected {
            command: id.clone(),
            reason: "unknown: workspace lagos".to_owned(),
        },
        Reply::NotSent {
            retry_after_ms: 1500,
        },
        Reply::Unknown { command: id },
        Reply::Invalid {
            column: 6,
            message: "column 6: expected rate, found 'rat'".to_owned(),
        },
    ]
}

#[test]
fn replies_are_formatted_as_table_and_json_with_exit_codes() {
    let mut rendered = String::new();
    for reply in replies() {
        let table = render(&reply, Output::Table);
        let json = render(&reply, Output::Json);
        let exit = Exit::from_result(&Ok(reply)).code();
        rendered.push_str(&format!("{table}\n{json}\nexit {exit}\n\n"));
    }
    insta::assert_snapshot!(rendered);
}

#[test]
fn help_shows_options_language_and_exit_codes() {
    insta::assert_snapshot!(command().render_long_help());
}

#[test]
fn only_the_digest_of_a_new_key_is_sent() {
    let mut rng = Pcg64::seed_from_u64(7);
    let line = Line::new("create key planner for lagos if revision 3", &mut rng);
    let secret = line.secret.expect("a key is generated");
    assert!(!line.text.contains(secret.reveal()));
    assert_eq!(
        line.text,
        format!(
            "create key planner for lagos digest {} if revision 3",
            secret.digest()
        )
    );
    let other = Line::new("create key planner for lagos", &mut rng)
        .secret
        .expect("another key is generated");
    assert_ne!(other.reveal(), secret.reveal());
    let given = format!("create key k for lagos digest {}", secret.digest());
    assert!(Line::new(&given, &mut rng).secret.is_none());
}
