//! Checks that the comparison depends only on the seed, and that escrow shares never exceed burst + rate x window.

use insta::assert_snapshot;
use quetzalpick_load::compare::{SchemeKind, compare_all};

#[test]
fn comparison_of_a_seed_is_reproducible_and_escrow_shares_keep_the_rate() {
    let rows = compare_all(1, 1);
    for row in &rows {
        let within_rate = row.scheme != SchemeKind::EscrowShares || row.worst_excess.greatest == 0;
        assert!(within_rate, "{row:?}");
    }
    let lines = rows.iter().map(|row| {
        let (balancer, scheme) = (row.balancer, row.scheme);
        let refused = row.refused_within_ppm.median;
        let messages = row.messages_permille.median;
        format!("{balancer} {scheme}: {refused} ppm refused within rate, {messages} messages per thousand")
    });
    assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}
