//! Calls that are sent again, also hundreds of changes later: acknowledged or left without a clear answer, never refused.

use mosshead_headworks::{Flaw, Verdict};

use crate::book::Kind;
use crate::scenarios::{calm, lead, taken, told, verdict_at, want};

/// More changes than a state remembers calls.
const HUNDREDS: usize = 300;

/// A change that was taken is sent again after every other one of some hundreds.
fn repeated_after_hundreds(flaw: Option<Flaw>) -> Result<(), String> {
    let mut world = calm(11, 3, 1, flaw)?;
    let mut changes = Vec::new();
    for _ in 0..HUNDREDS {
        changes.push(taken(&mut world, 60)?);
    }
    let primary = lead(&world)?;
    let mut acknowledged = 0;
    for change in changes {
        let verdict = verdict_at(&mut world, primary, Kind::Change(change), 250)?;
        acknowledged += usize::from(matches!(verdict, Some(Verdict::Taken { .. })));
    }
    want(acknowledged == mosshead_headworks::REMEMBERED_CALLS, "the latest calls are acknowledged again")
}

#[test]
fn a_call_taken_hundreds_of_changes_ago_is_never_refused() {
    told(repeated_after_hundreds, Flaw::RefuseForgotten);
}
