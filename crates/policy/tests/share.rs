//! Shares of an engine among entries that share no state.

use std::time::Duration;

use fireflyhoist_policy::share::{Claim, Share, part};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// During a network partition both sides divide by the length of the published list, so that
    /// the shares of both together stay within the whole engine.
    #[test]
    fn shares_never_sum_above_one(entries in 1_usize..400, at in 0_usize..1_000) {
        let sum: f64 = (0..entries).map(|own| part(at, Some(own), entries)).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "{sum}");
    }

    /// However quickly lists follow one another, the share of an entry never exceeds what its
    /// latest list gives it.
    #[test]
    fn a_share_never_exceeds_its_latest_list(lists in prop::collection::vec((1_usize..20, 0_u64..4_000), 1..20)) {
        let mut share = Share::open(part(0, Some(0), lists[0].0));
        let mut now = Time::ZERO;
        for (entries, millis) in lists {
            now = now + Duration::from_millis(millis);
            let published = part(0, Some(0), entries);
            share.set(now, published);
            prop_assert!(share.get(now) <= published + 1e-9);
            prop_assert!(share.get(now + Duration::from_secs(60)) <= published + 1e-9);
        }
    }

    /// If every entry sends all that it may after one report, the free memory in the report is not
    /// exceeded.
    #[test]
    fn claims_of_all_entries_fit_into_the_reported_memory(free in 0.0_f64..1e6, entries in 1_usize..12) {
        let taken: f64 = (0..entries)
            .map(|own| {
                let share = part(3, Some(own), entries);
                let claim = Claim { free, sent: 0.0, freed: 0.0, share, retained: 1.0 };
                let first = claim.allowance();
                let after = Claim { free: free - first, sent: first, ..claim };
                first + after.allowance().max(0.0)
            })
            .sum();
        prop_assert!(taken <= free * (1.0 + 1e-9), "{taken} of {free}");
    }
}

#[test]
fn a_share_grows_in_bounded_steps_and_shrinks_at_once() {
    let mut share = Share::open(0.1);
    share.set(Time::ZERO, 0.5);
    let after = |secs| share.get(Time::ZERO + Duration::from_secs(secs));
    assert!(after(0) < 0.11 && after(1) < 0.2 && after(10) > 0.49, "{}", after(1));
    let mut share = Share::open(0.5);
    share.set(Time::ZERO, 0.1);
    assert!(share.get(Time::ZERO) <= 0.1);
}
