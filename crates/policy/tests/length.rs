//! Prediction of answer lengths.

use fireflyhoist_policy::curve::Curve;
use fireflyhoist_policy::id;
use fireflyhoist_policy::length::Book;

fn workspace(name: &str) -> id::Workspace {
    name.parse().expect("a name")
}

fn learn(book: &mut Book, name: &str, length: u64, times: usize) {
    for _ in 0..times {
        let mark = book.begin(&workspace(name));
        book.end(&workspace(name), mark, length);
    }
}

#[test]
fn a_workspace_is_predicted_by_its_own_answers() {
    let mut book = Book::open();
    learn(&mut book, "lines", 50, 200);
    learn(&mut book, "registers", 4_000, 200);
    let expected = |name| book.law(&workspace(name)).expected(0, 65_536);
    assert!((30.0..120.0).contains(&expected("lines")), "{}", expected("lines"));
    assert!((2_500.0..6_000.0).contains(&expected("registers")), "{}", expected("registers"));
}

#[test]
fn what_has_been_produced_is_taken_into_account() {
    let mut book = Book::open();
    learn(&mut book, "mixed", 50, 150);
    learn(&mut book, "mixed", 4_000, 50);
    let law = book.law(&workspace("mixed"));
    assert!(law.expected(0, 65_536) < 2_000.0);
    assert!(law.expected(200, 65_536) > 2_500.0, "one past 50 is a long one");
    assert!(law.expected(200, 300) <= 300.0, "no answer passes its limit");
}

/// Long answers end last. If only ended answers counted, a recently started process would predict
/// short answers only and overload every engine.
#[test]
fn long_answers_that_still_run_are_not_forgotten() {
    let mut book = Book::open();
    let name = workspace("pages");
    for _ in 0..100 {
        let mut mark = book.begin(&name);
        book.advance(&name, &mut mark, 3_000);
    }
    learn(&mut book, "pages", 50, 100);
    assert!(book.law(&name).survival(1_000) > 0.35, "half of them run on");
}

#[test]
fn long_answers_vary_more_than_many_short_ones_of_the_same_mean() {
    let mut book = Book::open();
    learn(&mut book, "even", 400, 300);
    learn(&mut book, "wild", 50, 270);
    learn(&mut book, "wild", 4_000, 30);
    let spread = |name| {
        let curve = Curve::of(book.law(&workspace(name)), 100, 0, 8_192);
        let none = Curve::default();
        Curve::peak_of([&curve, &none, &none], 3.0) - curve.peak()
    };
    assert!(spread("wild") > 2.0 * spread("even"), "{} {}", spread("wild"), spread("even"));
}
