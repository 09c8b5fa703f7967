//! Checks that concurrent submissions of configuration changes are linearizable: that
//! some sequential order of them explains every outcome.

use {
    std::sync::{Mutex, PoisonError},
    todc_utils::{
        linearizability::{
            WGLChecker,
            history::{Action, History},
        },
        specifications::Specification,
    },
};

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force as this revision.
    Accepted(u64),
    /// The change is rejected, since this revision is in force and not its base.
    Conflict(u64),
}

/// An operator's submission of a change on top of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Id of the change, which stays the same when it is submitted again.
    pub change: String,
    /// Revision that the change is based on.
    pub base: u64,
    /// Outcome; `None` while the submission is in flight.
    pub outcome: Option<Outcome>,
}

/// Sequential specification of the configuration: each revision is based on the one before
/// it. A change that is already in force is accepted again with the revision that it has.
struct Revisions;

impl Specification for Revisions {
    /// Ids of the changes in the order of their revisions; the first is revision 2.
    type State = Vec<String>;
    type Operation = Submission;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(submission: &Submission, state: &Self::State) -> (bool, Self::State) {
        let newest = state.len() as u64 + 1;
        let position = state.iter().position(|change| *change == submission.change);
        let revision = position.map(|position| position as u64 + 2);
        match (submission.outcome, revision) {
            (Some(Outcome::Accepted(accepted)), Some(revision)) => {
                (accepted == revision, state.clone())
            }
            (Some(Outcome::Accepted(accepted)), None)
                if submission.base == newest && accepted == newest + 1 =>
            {
                let mut next = state.clone();
                next.push(submission.change.clone());
                (true, next)
            }
            (Some(Outcome::Conflict(seen)), None) => {
                let is_conflict = submission.base != newest && seen == newest;
                (is_conflict, state.clone())
            }
            _ => (false, state.clone()),
        }
    }
}

/// Calls and returns of the submissions of several operators, in the order recorded.
#[derive(Default)]
pub struct Register {
    actions: Mutex<Vec<(usize, Action<Submission>)>>,
}

impl Register {
    /// Records that an operator submits a change.
    pub fn called(&self, operator: usize, change: &str, base: u64) {
        self.record_action(operator, change, base, None);
    }

    /// Records the outcome that the operator received.
    pub fn returned(&self, operator: usize, change: &str, base: u64, outcome: Outcome) {
        self.record_action(operator, change, base, Some(outcome));
    }

    fn record_action(&self, operator: usize, change: &str, base: u64, outcome: Option<Outcome>) {
        let submission = Submission {
            change: change.to_owned(),
            base,
            outcome,
        };
        let action = match outcome {
            None => Action::Call(submission),
            Some(_) => Action::Response(submission),
        };
        let mut actions = self.actions.lock().unwrap_or_else(PoisonError::into_inner);
        actions.push((operator, action));
    }

    /// Returns whether the submissions are linearizable: whether each can take effect at
    /// one point between its call and its return. Every call must have returned.
    #[must_use]
    pub fn is_linearizable(&self) -> bool {
        let actions = self.actions.lock().unwrap_or_else(PoisonError::into_inner);
        let history = History::from_actions(actions.clone());
        WGLChecker::<Revisions>::is_linearizable(history)
    }
}
