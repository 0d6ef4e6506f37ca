//! Prediction of answer lengths.

use fireflyhoist_policy::curve::Curve;
use fireflyhoist_policy::id;
use fireflyhoist_policy::length::Predictor;

fn workspace(name: &str) -> id::Workspace {
    name.parse().expect("a name")
}

fn record_answers(predictor: &mut Predictor, name: &str, length: u64, times: usize) {
    for _ in 0..times {
        let progress = predictor.begin(&workspace(name));
        predictor.end(&workspace(name), progress, length);
    }
}

#[test]
fn workspace_prediction_follows_its_own_answers() {
    let mut predictor = Predictor::open();
    record_answers(&mut predictor, "lines", 50, 200);
    record_answers(&mut predictor, "registers", 4_000, 200);
    let expected = |name| predictor.distribution(&workspace(name)).expected(0, 65_536);
    assert!((30.0..120.0).contains(&expected("lines")), "{}", expected("lines"));
    assert!((2_500.0..6_000.0).contains(&expected("registers")), "{}", expected("registers"));
}

#[test]
fn expected_length_accounts_for_produced_tokens() {
    let mut predictor = Predictor::open();
    record_answers(&mut predictor, "mixed", 50, 150);
    record_answers(&mut predictor, "mixed", 4_000, 50);
    let distribution = predictor.distribution(&workspace("mixed"));
    assert!(distribution.expected(0, 65_536) < 2_000.0);
    assert!(distribution.expected(200, 65_536) > 2_500.0, "an answer past 50 tokens is a long one");
    assert!(distribution.expected(200, 300) <= 300.0, "the limit bounds the length");
}

/// Long answers end last. If only ended answers counted, a recently started process would predict
/// short answers only and overload every engine.
#[test]
fn running_long_answers_count_as_survivors() {
    let mut predictor = Predictor::open();
    let name = workspace("pages");
    for _ in 0..100 {
        let mut progress = predictor.begin(&name);
        predictor.advance(&name, &mut progress, 3_000);
    }
    record_answers(&mut predictor, "pages", 50, 100);
    assert!(predictor.distribution(&name).survival(1_000) > 0.35, "half of them are still running");
}

#[test]
fn rare_long_answers_raise_the_variance_at_equal_mean() {
    let mut predictor = Predictor::open();
    record_answers(&mut predictor, "even", 400, 300);
    record_answers(&mut predictor, "wild", 50, 270);
    record_answers(&mut predictor, "wild", 4_000, 30);
    let deviation = |name| {
        let curve = Curve::of(predictor.distribution(&workspace(name)), 100, 0, 8_192);
        let none = Curve::default();
        Curve::peak_of([&curve, &none, &none], 3.0) - curve.peak()
    };
    assert!(
        deviation("wild") > 2.0 * deviation("even"),
        "{} {}",
        deviation("wild"),
        deviation("even")
    );
}
