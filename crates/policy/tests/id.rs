//! Validation and text forms of names and ids.

use fireflyhoist_policy::id::{Generation, Host, NameError};
use yare::parameterized;

#[parameterized(
    empty = { "", NameError::Empty },
    upper = { "Brno", NameError::Character { found: 'B' } },
    space = { "hala a", NameError::Character { found: ' ' } },
    long = { &"x".repeat(65), NameError::Long { length: 65 } },
)]
fn a_bad_name_names_its_remedy(text: &str, expected: NameError) {
    assert_eq!(text.parse::<Host>(), Err(expected));
}

#[test]
fn a_generation_survives_its_text() {
    let id = Generation::new(0xfeed);
    assert_eq!(id.to_string().parse::<Generation>(), Ok(id));
    assert!("xyz".parse::<Generation>().is_err());
}
