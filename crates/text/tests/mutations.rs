//! Whatever bytes are published, a text is taken or refused with a bounded answer; none ends the
//! daemon that reads it.

use fireflyhoist_text::{Text, diff};
use proptest::prelude::*;

const EXAMPLES: [&[u8]; 2] =
    [include_bytes!("../../../examples/brno.toml"), include_bytes!("../../../examples/oslo.toml")];

/// One slip of an editor, a merge or a disk.
#[derive(Clone, Debug)]
enum Slip {
    Put(usize, u8),
    Insert(usize, Vec<u8>),
    Remove(usize, usize),
    Repeat(usize, usize),
}

fn slip() -> impl Strategy<Value = Slip> {
    let piece = prop_oneof![
        Just(b"[[service]]\n".to_vec()),
        Just(b"name = \"x\"\n".to_vec()),
        Just(b"\"".to_vec()),
        Just(b"[".to_vec()),
        Just(b" = -1\n".to_vec()),
        Just("ž\u{2028}".as_bytes().to_vec()),
        proptest::collection::vec(any::<u8>(), 1..8),
    ];
    prop_oneof![
        (0..5_000usize, any::<u8>()).prop_map(|(at, byte)| Slip::Put(at, byte)),
        (0..5_000usize, piece).prop_map(|(at, piece)| Slip::Insert(at, piece)),
        (0..5_000usize, 1..200usize).prop_map(|(at, count)| Slip::Remove(at, count)),
        (0..5_000usize, 1..400usize).prop_map(|(at, count)| Slip::Repeat(at, count)),
    ]
}

fn apply(bytes: &mut Vec<u8>, slip: &Slip) {
    let length = bytes.len().max(1);
    match slip {
        Slip::Put(at, byte) => bytes[at % length] = *byte,
        Slip::Insert(at, piece) => drop(bytes.splice(at % length..at % length, piece.clone())),
        Slip::Remove(at, count) => {
            let start = at % length;
            bytes.drain(start..(start + count).min(length));
        }
        Slip::Repeat(at, count) => {
            let start = at % length;
            let piece = bytes[start..(start + count).min(length)].to_vec();
            bytes.splice(start..start, piece);
        }
    }
    if bytes.is_empty() {
        bytes.push(b'\n');
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn slips_are_taken_or_refused(which in 0..2usize, slips in proptest::collection::vec(slip(), 1..6)) {
        let mut bytes = EXAMPLES[which].to_vec();
        slips.iter().for_each(|slip| apply(&mut bytes, slip));
        let lines = 1 + bytes.iter().filter(|byte| **byte == b'\n').count();
        match Text::parse_bytes(&bytes) {
            Ok(text) => prop_assert!(diff::changes(&text, &text).is_empty()),
            Err(faults) => {
                let count = faults.iter().count();
                prop_assert!((1..=50).contains(&count));
                prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line())));
                let said = faults.to_string();
                prop_assert!(!said.contains('\n') && said.len() < 50 * 1_000, "{said}");
            }
        }
    }

    #[test]
    fn any_bytes_are_taken_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(Text::parse_bytes(&bytes).is_err());
    }
}
