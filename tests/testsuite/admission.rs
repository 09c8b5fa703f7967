//! Admission of sharded requests under overload: admitting fewer requests completes more.

use {
    briarquay::policy::admission::Admission,
    std::time::{Duration, Instant},
};

const SHARDS: usize = 20;
const AIM: Duration = Duration::from_millis(150);
/// Requests that the leaves can run at once.
const CAPACITY: usize = 8;
/// Steps of 10 ms that a request takes.
const WORK_STEPS: u64 = 10;

/// Outcomes of the simulated requests.
#[derive(Debug, Default)]
struct Outcomes {
    /// Requests for which leaves rejected at most a tenth of the attempts.
    complete: usize,
    /// Other admitted requests.
    incomplete: usize,
    /// Requests that were not admitted, by priority.
    rejected: [usize; 3],
}

/// Simulates 20 s in which `load` requests arrive in each step of 10 ms, alternately of
/// priority 1 and 2. Beyond [`CAPACITY`], leaves reject each request's attempts in
/// proportion.
fn simulate(load: f64, mut admission: Option<Admission>) -> Outcomes {
    let start = Instant::now();
    let mut outcomes = Outcomes::default();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let (mut arrivals, mut number) = (0.0, 0_u32);
    for step in 0..2_000 {
        let now = start + Duration::from_millis(10 * step);
        let (ended, others): (Vec<_>, Vec<_>) = running.iter().partition(|(end, _)| *end <= step);
        running = others;
        for (_, rejected) in ended {
            if let Some(admission) = &mut admission {
                admission.record_end(rejected, SHARDS, AIM, now);
            }
            if rejected * 10 <= SHARDS {
                outcomes.complete += 1;
            } else {
                outcomes.incomplete += 1;
            }
        }
        arrivals += load;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            number += 1;
            let priority = 1 + number % 2;
            if admission
                .as_mut()
                .is_some_and(|admission| !admission.try_admit(priority))
            {
                outcomes.rejected[priority as usize] += 1;
                continue;
            }
            let excess = (running.len() + 1).saturating_sub(CAPACITY);
            running.push((step + WORK_STEPS, SHARDS * excess / (running.len() + 1)));
        }
    }
    outcomes
}

#[test]
fn twice_the_capacity_in_load_completes_more_than_half_of_what_the_leaves_can_run() {
    // 2,000 steps of 10 ms at 8 requests each 100 ms.
    let maximum = 2_000 / usize::try_from(WORK_STEPS).expect("small") * CAPACITY;
    let without = simulate(1.6, None);
    let with = simulate(1.6, Some(Admission::default()));
    assert!(without.complete < maximum / 4, "{without:?}");
    assert!(with.complete > maximum / 2, "{with:?} of {maximum}");
    assert!(with.incomplete < with.complete, "{with:?}");
}

#[test]
fn less_urgent_requests_are_rejected_more_often() {
    let outcomes = simulate(1.6, Some(Admission::default()));
    assert!(outcomes.rejected[2] > outcomes.rejected[1], "{outcomes:?}");
}

#[test]
fn no_request_is_rejected_below_the_capacity() {
    let outcomes = simulate(0.7, Some(Admission::default()));
    assert_eq!(outcomes.rejected, [0; 3], "{outcomes:?}");
    assert_eq!(outcomes.incomplete, 0);
}

#[test]
fn a_request_whose_caller_disconnects_no_longer_counts() {
    let mut admission = Admission::default();
    for _ in 0..1_000 {
        assert!(admission.try_admit(0));
        admission.release();
    }
}
