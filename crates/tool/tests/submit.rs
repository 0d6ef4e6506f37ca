//! When a publication counts as done, overtaken or still on its way.

use fireflyhoist_text::Version;
use fireflyhoist_tool::submit::{Progress, Verdict};
use fireflyhoist_wire::status::{Brief, InForce};

const TEXT: &str = "revision = 5";

fn wanted() -> Version {
    Version::of(5, TEXT)
}

fn member(version: Option<Version>, refused: Option<&str>) -> Result<Brief, String> {
    Ok(Brief {
        host: "brno-1".parse().expect("a name"),
        in_force: version.map(|version| InForce {
            revision: version.revision(),
            version: version.to_string().into(),
        }),
        refused: refused.map(str::to_owned),
    })
}

fn progress(answers: Vec<Result<Brief, String>>) -> Progress {
    let named = answers.into_iter().enumerate().map(|(i, a)| (format!("brno-{i}"), a));
    Progress::open(wanted(), named.collect())
}

#[test]
fn it_is_done_when_every_member_has_it_in_force() {
    let progress = progress(vec![member(Some(wanted()), None), member(Some(wanted()), None)]);
    assert_eq!(progress.verdict(), Verdict::Done);
    assert_eq!(progress.to_string(), format!("{} is in force on 2 of 2 hosts", wanted()));
}

/// One host cannot reach the platform, one refused the text, one has nothing yet and one is gone.
/// The operator must hear of each by name; calling it done would leave four hosts behind unseen.
#[test]
fn each_member_that_lags_is_named_with_its_reason() {
    let old = Version::of(4, "revision = 4");
    let progress = progress(vec![
        member(Some(wanted()), None),
        member(Some(old), None),
        member(Some(old), Some("line 3: field `x` is unknown")),
        member(None, None),
        Err("nothing in 3 s".into()),
    ]);
    assert_eq!(progress.verdict(), Verdict::Wait);
    assert_eq!(
        progress.lagging(),
        [
            format!("brno-1 has {old}"),
            "brno-2 refused the published text: line 3: field `x` is unknown".into(),
            "brno-3 has no version yet".into(),
            "brno-4 does not answer: nothing in 3 s".into(),
        ]
    );
}

/// Two operators publish at once. Versions never go back, so the older text would never come into
/// force; waiting for it to the end of the timeout would tell its operator nothing.
#[test]
fn a_text_that_another_stands_before_is_overtaken() {
    for other in [Version::of(6, "revision = 6"), Version::of(5, "revision = 5 # other")] {
        let progress = progress(vec![member(Some(wanted()), None), member(Some(other), None)]);
        assert_eq!(progress.verdict(), Verdict::Overtaken(other.to_string()));
    }
}
