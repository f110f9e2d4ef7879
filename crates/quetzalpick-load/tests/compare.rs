//! The comparison is the same for one seed, and escrow shares never exceed burst + rate x window.

use insta::assert_snapshot;
use quetzalpick_load::compare::{Kind, compare_all};

#[test]
fn one_seed_gives_one_table() {
    let rows = compare_all(1, 1);
    for row in &rows {
        let sound = row.scheme != Kind::EscrowShares || row.worst_excess.greatest == 0;
        assert!(sound, "{row:?}");
    }
    let lines = rows.iter().map(|row| {
        let (balancer, scheme) = (row.balancer, row.scheme);
        let refused = row.refused_within_ppm.median;
        let messages = row.messages_permille.median;
        format!("{balancer} {scheme}: {refused} ppm refused within rate, {messages} messages per thousand")
    });
    assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}
