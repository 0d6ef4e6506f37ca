//! Validation and text forms of names and ids.

use fireflyhoist_policy::id::{Generation, Host, NameError};
use yare::parameterized;

#[parameterized(
    empty = { "", NameError::Empty },
    upper = { "Brno", NameError::InvalidCharacter { found: 'B' } },
    space = { "hala a", NameError::InvalidCharacter { found: ' ' } },
    long = { &"x".repeat(65), NameError::TooLong { length: 65 } },
)]
fn invalid_name_is_rejected_with_its_reason(text: &str, expected: NameError) {
    assert_eq!(text.parse::<Host>(), Err(expected));
}

#[test]
fn generation_round_trips_through_text() {
    let id = Generation::new(0xfeed);
    assert_eq!(id.to_string().parse::<Generation>(), Ok(id));
    assert!("xyz".parse::<Generation>().is_err());
}
