//! Entries of the product's own registry that another program wrote: none hides its neighbours, and
//! none is used.

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::platform::{EngineApi, Item, Page, Registry, Resource};
use fireflyhoist_policy::cordon;
use fireflyhoist_policy::lease::{Change, Start};
use ntex::http::StatusCode;
use proptest::prelude::*;
use yare::parameterized;

fn target(id: &str) -> String {
    format!(
        r#"{{"put":{{"id":"{id}","instance":"{id}","service":"web","address":"10.0.0.9:80",
        "domain":"hala-a","state":"ready","renewal":4,"start":1764900000000,"cold_ms":0,
        "slots":6,"software":"v1"}}}}"#
    )
}

const TEXT: &str = r#"{"revision":7,"routes":[{"name":"r","host":"a.example","prefix":"/p/",
    "kind":"safe","timeout":{"secs":6,"nanos":0},"objective":{"secs":1,"nanos":0},
    "gap":{"secs":1,"nanos":0},"rank":2,"attempts":2,"public":false,
    "parts":[{"service":"web","weight":1}]}],
    "services":[{"name":"web","connections":9,"engine":{"slots":24,"memory":34213,
    "tokens_per_event":4,"moves":true,"backups":true},
    "warmup":{"lasts":{"secs":2,"nanos":0},"per_s":32.0}}],
    "workspaces":[],"bounds":{"body":1000}}"#;

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

/// Returns what is read of a listing with an odd target between sound ones.
fn read_target(odd: &[u8]) -> Page {
    let begin = format!(r#"{{"revision":9,"text":{TEXT},"targets":[{},"#, target("t-1"));
    let mut body = begin.into_bytes();
    body.extend(odd);
    body.extend(format!(r#",{}],"cordons":[{{"set":"hala-b"}}]}}"#, target("t-3")).into_bytes());
    Native::decode_watch(Resource::Targets, &body).expect("the listing is read")
}

fn read(text: &str, cordon: &str) -> Page {
    let body = format!(
        r#"{{"revision":9,"text":{text},"targets":[{}],"cordons":[{{"set":"hala-b"}},{cordon}]}}"#,
        target("t-1")
    );
    Native::decode_list(Resource::Text, body.as_bytes()).expect("the listing is read")
}

/// Returns the ids of targets that are written, of those that are removed, and the errors.
fn targets(page: &Page) -> (Vec<String>, Vec<String>, Vec<String>) {
    let (mut put, mut gone, mut errors) = (Vec::new(), Vec::new(), Vec::new());
    for item in &page.items {
        match item {
            Ok(Item::Target(Change::Put(target))) => put.push(target.id.to_string()),
            Ok(Item::Target(Change::Gone(id))) => gone.push(id.to_string()),
            Ok(Item::Text(_) | Item::Cordon(_)) => {}
            Err(error) => errors.push(error.what.clone()),
        }
    }
    assert!(errors.iter().all(|error| error.len() <= 512), "{errors:?}");
    (put, gone, errors)
}

/// Guards against one odd target failing the whole listing, so that no entry follows the registry.
#[parameterized(
    null = { "null" },
    text = { "\"put\"" },
    number = { "7" },
    lone_list = { "[]" },
    empty = { "{}" },
    unknown_change = { r#"{"hide":"t-2"}"# },
    id_is_a_number = { r#"{"put":{"id":7}}"# },
    half_a_surrogate = { r#"{"gone":"\ud800"}"# },
    number_that_is_too_large = { "1e400" },
    deep = { &nested(10_000) },
    very_deep = { &nested(1_000_000) },
    deep_target = { &format!(r#"{{"put":{}}}"#, nested(1_000_000)) },
)]
fn an_odd_target_without_a_name_hides_nothing(odd: &str) {
    let page = read_target(odd.as_bytes());
    let (put, gone, errors) = targets(&page);
    assert_eq!((put, gone, errors.len()), (vec!["t-1".into(), "t-3".into()], vec![], 1));
    assert_eq!(page.items.len(), 5, "the text and the cordon are read");
}

/// Guards against the same with bytes that are no text.
#[test]
fn bytes_that_are_no_text_hide_nothing() {
    let (put, _, errors) = targets(&read_target(b"{\"gone\":\"\xff\"}"));
    assert_eq!((put, errors.len()), (vec!["t-1".into(), "t-3".into()], 1));
}

/// Guards against a target that is used on although its entry can't be read, or with values that
/// can't be meant.
#[test]
fn an_odd_target_is_removed() {
    let sound = target("t-2");
    let fields = [
        (
            "\"10.0.0.9:80\"",
            &[
                "\"10.0.0.9:0\"",
                "\"10.0.0.9:65536\"",
                "\"0.0.0.0:80\"",
                "\"[::]:80\"",
                "\"\"",
                "\"web:80\"",
                "\"[fe80::1%2]:80\"",
                "7",
                "null",
                "[]",
            ][..],
        ),
        ("\"web\"", &["\"\"", "\"Web\"", "7", "null", "{}"]),
        ("\"hala-a\"", &["\"\"", "7", "\"\\ud800\""]),
        ("\"ready\"", &["\"gone\"", "7", "null"]),
        (
            "\"renewal\":4",
            &[
                "\"renewal\":-1",
                "\"renewal\":1.5",
                "\"renewal\":9007199254740993",
                "\"renewal\":18446744073709551615",
                "\"renewal\":1e400",
            ],
        ),
        ("1764900000000", &["-1", "9007199254740993", "18446744073709551615", "1e400", "\"NaN\""]),
        (
            "\"cold_ms\":0",
            &[
                "\"cold_ms\":-1",
                "\"cold_ms\":18446744073709551615",
                "\"cold_ms\":1e308",
                "\"cold_ms\":1.5",
            ],
        ),
        ("\"slots\":6", &["\"slots\":-1", "\"slots\":4294967295", "\"slots\":4294967296"]),
        ("\"v1\"", &["7", "[]"]),
    ];
    for (is, values) in fields {
        assert!(sound.contains(is), "{is}");
        let field = is.split_once("\":").map_or(String::new(), |(field, _)| format!("{field}\":"));
        let deep = [10_000, 1_000_000].map(|levels| format!("{field}{}", nested(levels)));
        for value in values.iter().copied().chain(deep.iter().map(String::as_str)) {
            let (put, gone, errors) = targets(&read_target(sound.replace(is, value).as_bytes()));
            let shown: String = value.chars().take(40).collect();
            assert_eq!(put, ["t-1", "t-3"], "{is} {shown}");
            assert!(gone == ["t-2"], "{is} {shown}: {gone:?}");
            assert!(errors.len() == 1 && errors[0].contains("t-2"), "{errors:?}");
        }
    }
}

/// Guards against an odd text or cordon that fails the whole listing.
#[test]
fn an_odd_text_or_cordon_hides_nothing() {
    let numbers = [
        ("\"revision\":7", &["-1", "9007199254740993", "18446744073709551616"][..]),
        ("\"attempts\":2", &["0", "-1", "4294967296"]),
        ("\"slots\":24", &["0", "4294967295"]),
        ("\"memory\":34213", &["0", "9223372036854775808"]),
        ("\"tokens_per_event\":4", &["0", "4294967295"]),
        ("\"per_s\":32.0", &["-1", "1e308", "1e400", "\"NaN\""]),
        ("\"secs\":6", &["18446744073709551615", "-1", "1e18"]),
        ("\"secs\":1", &["18446744073709551615", "18446744073709551616"]),
        ("\"secs\":2", &["18446744073709551615"]),
    ];
    let mut odd =
        vec!["7".into(), "[]".into(), "\"text\"".into(), nested(10_000), nested(1_000_000)];
    for (is, values) in numbers {
        let field = is.split(':').next().expect("a field");
        odd.extend(values.iter().map(|value| TEXT.replace(is, &format!("{field}:{value}"))));
    }
    for text in odd {
        let page = read(&text, r#"{"lifted":"hala-c"}"#);
        let (put, _, errors) = targets(&page);
        let shown: String = text.chars().take(200).collect();
        assert_eq!((put, errors.len(), page.items.len()), (vec!["t-1".into()], 1, 4), "{shown}");
    }
    for cordon in ["7", "null", "{\"set\":7}", "{\"set\":\"\"}", "[]", &nested(1_000_000)] {
        let page = read(TEXT, cordon);
        let set = Item::Cordon(cordon::Change::Set("hala-b".parse().expect("a domain")));
        assert!(page.items.contains(&Ok(set)), "{cordon:.40}");
        assert_eq!((targets(&page).2.len(), page.items.len()), (1, 4), "{cordon:.40}");
    }
}

/// A sound listing is read as before.
#[test]
fn a_sound_listing_is_read() {
    let page = read(TEXT, r#"{"lifted":"hala-c"}"#);
    assert!(page.items.len() == 4 && page.items.iter().all(Result::is_ok), "{:?}", page.items);
    let page = read("null", r#"{"lifted":"hala-c"}"#);
    assert!(page.items.len() == 3 && page.items.iter().all(Result::is_ok), "{:?}", page.items);
    let page = Native::decode_list(Resource::Text, br#"{"revision":3}"#).expect("a listing");
    assert_eq!((page.items.len(), page.revision), (0, 3));
}

/// Guards against an engine that leaves and is taken for one that stays, because of another field.
#[parameterized(
    start_is_text = { r#"{"leaving":true,"start":"x"}"#, true, None },
    start_is_too_large = { r#"{"leaving":true,"start":18446744073709551615}"#, true, None },
    leaving_is_text = { r#"{"leaving":"yes","start":5}"#, false, Some(5) },
    leaving_is_deep = { &format!(r#"{{"leaving":{},"start":5}}"#, nested(1_000_000)), false, Some(5) },
    lone_list = { "[true,5]", false, None },
)]
fn an_odd_field_of_a_report_hides_no_other(body: &str, leaves: bool, start: Option<u64>) {
    assert_eq!(Native::is_draining(StatusCode::OK, body.as_bytes()), leaves);
    assert_eq!(Native::report_start(body.as_bytes()), start.map(Start::new));
}

proptest! {
    /// Arbitrary bytes end nothing.
    #[test]
    fn arbitrary_bytes_are_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Native::decode_list(Resource::Targets, &bytes);
    }

    /// Neighbours of a number of any form are read.
    #[test]
    fn arbitrary_numbers_hide_nothing(
        number in "-?(0|[1-9][0-9]{0,24})(\\.[0-9]{1,9})?([eE][-+]?[0-9]{1,4})?",
        field in prop::sample::select(vec!["\"renewal\":4", "\"start\":1764900000000", "\"cold_ms\":0", "\"slots\":6"]),
    ) {
        let name = field.split(':').next().unwrap_or_default();
        let odd = target("t-2").replace(field, &format!("{name}:{number}"));
        let (put, ..) = targets(&read_target(odd.as_bytes()));
        prop_assert!(put.contains(&"t-1".to_owned()) && put.contains(&"t-3".to_owned()));
    }
}
