//! Sections: joined they are the source; a change moves little.

use fireflyhoist_text::section::{JoinError, Store};
use yare::parameterized;

/// A text of the design size: 5,600 workspaces, about a megabyte.
fn megabyte() -> String {
    let mut text = String::from("revision = 7\n");
    for number in 0..5_600 {
        text += &format!(
            "\n[[workspace]]\nname = \"workspace-{number:04}\"\nweight = {}\nmax_streams = 40\n\
             tokens_per_second = 2500.0\nkey_sha256 = \"{number:064x}\"\n",
            1 + number % 7
        );
    }
    text
}

#[parameterized(
    empty = { "" },
    one_line = { "revision = 1" },
    no_end = { "revision = 1\n[[workspace]]\nname = \"a\"" },
    carriage_returns = { "revision = 1\r\n\r\n[[workspace]]\r\n" },
    one_long_line = { &"x".repeat(100_000) },
    same_lines = { &"weight = 1\n".repeat(20_000) },
    large = { &megabyte() },
)]
fn sections_joined_are_the_source(source: &str) {
    let mut store = Store::default();
    let manifest = store.split(source);
    assert_eq!(store.join(&manifest).as_deref(), Ok(source));
}

/// An operator edits one workspace of a megabyte of text, 840 times a day. Each daemon holds the
/// version before and fetches what it lacks; sent whole, the text alone would be five times the
/// budget of a node.
#[parameterized(
    a_field = { "name = \"workspace-2800\"\nweight = 1", "name = \"workspace-2800\"\nweight = 6" },
    the_revision = { "revision = 7", "revision = 8" },
    an_item_more = { "[[workspace]]\nname = \"workspace-0001\"", "[[workspace]]\nname = \"new\"\n\n[[workspace]]\nname = \"workspace-0001\"" },
    an_item_less = { "name = \"workspace-4000\"\n", "" },
)]
fn a_change_moves_few_sections(before: &str, after: &str) {
    let source = megabyte();
    let edited = source.replacen(before, after, 1);
    assert_ne!(source, edited);
    let mut held = Store::default();
    held.split(&source);
    let mut origin = Store::default();
    let manifest = origin.split(&edited);
    let missing = held.missing(&manifest);
    assert_eq!(held.join(&manifest), Err(JoinError::Missing { count: missing.len() }));
    let bytes: usize = missing.iter().map(|d| origin.get(*d).expect("held").len()).sum();
    assert!(missing.len() <= 3, "{} sections", missing.len());
    assert!(bytes + 16 * manifest.digests().len() < 40_000, "{bytes} bytes moved");
    for digest in missing {
        held.insert(origin.get(digest).expect("held").to_vec());
    }
    assert_eq!(held.join(&manifest), Ok(edited));
}

#[test]
fn forgetting_keeps_what_a_manifest_names() {
    let mut store = Store::default();
    let old = store.split(&megabyte());
    let new = store.split(&megabyte().replacen("revision = 7", "revision = 8", 1));
    store.retain(&[&new]);
    assert!(store.join(&new).is_ok());
    assert!(store.join(&old).is_err());
}
