//! Scripted answers are pure, bounded and steerable.

use fireflyhoist_policy::id::Generation;
use fireflyhoist_standin::script::Script;

#[test]
fn a_page_of_sixty_lines_has_sixty_lines() {
    let script = Script::of("page lines=60", Generation::new(1), u64::MAX);
    assert_eq!(script.text().lines().count(), 60);
}

#[test]
fn two_generations_of_one_prompt_differ_only_when_salted() {
    let plain = |n| Script::of("tokens=5", Generation::new(n), u64::MAX).text();
    let salted = |n| Script::of("tokens=5 salt", Generation::new(n), u64::MAX).text();
    assert_eq!(plain(1), plain(2));
    assert_ne!(salted(1), salted(2));
}

#[test]
fn the_caller_bounds_the_length() {
    assert_eq!(Script::of("tokens=500", Generation::new(1), 7).len(), 7);
}
