//! Positions in the history of a registry that may be restored from a copy.

use fireflyhoist_policy::position::Position;
use yare::parameterized;

/// Guards against a reused revision being taken for the newer one.
#[test]
fn positions_order_by_era_then_revision() {
    let positions = [(0, 7), (0, 900), (1, 3), (1, 4), (2, 0)];
    let positions = positions.map(|(era, revision)| Position::new(era, revision));
    assert!(positions.is_sorted());
    assert!(
        positions[2].has_later_era_than(positions[1])
            && !positions[3].has_later_era_than(positions[2])
    );
}

#[parameterized(
    first_era = { "0.17", Some((0, 17)) },
    later_era = { "3.17", Some((3, 17)) },
    plain = { "17", Some((0, 17)) },
    word = { "x.1", None },
    three_parts = { "1.2.3", None },
    empty = { "", None },
)]
fn position_round_trips_through_text(text: &str, read: Option<(u64, u64)>) {
    let read = read.map(|(era, revision)| Position::new(era, revision));
    assert_eq!(text.parse::<Position>().ok(), read);
    if let Some(position) = read {
        assert_eq!(position.to_string().parse(), Ok(position));
    }
}

/// Guards against positions that entries of an older release, which know revisions only, cannot
/// decode.
#[test]
fn plain_revision_decodes_as_era_zero() {
    let read = |json: &str| serde_json::from_str::<Position>(json).expect("a position");
    assert_eq!(read("17"), Position::new(0, 17));
    let written = |position: Position| serde_json::to_string(&position).expect("JSON");
    assert_eq!(written(Position::new(0, 17)), "17");
    assert_eq!(read(&written(Position::new(2, 17))), Position::new(2, 17));
}
