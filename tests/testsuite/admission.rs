//! Overload of gathered requests: taking on fewer serves more.

use {
    briarquay::policy::admit::Admission,
    std::time::{Duration, Instant},
};

const SHARDS: usize = 20;
const AIM: Duration = Duration::from_millis(150);
/// Requests that the leaves can run at once.
const ROOM: usize = 8;
/// Steps of 10 ms that a request takes.
const WORK: u64 = 10;

/// What became of the requests.
#[derive(Debug, Default)]
struct Result {
    whole: usize,
    spoilt: usize,
    refused: [usize; 3],
}

/// Plays 20 s in which `load` requests come in each step of 10 ms, by turns of urgency 1
/// and 2. Beyond [`ROOM`], leaves turn away each request's sends in proportion.
fn play(load: f64, mut admission: Option<Admission>) -> Result {
    let start = Instant::now();
    let mut result = Result::default();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let (mut due, mut number) = (0.0, 0_u32);
    for step in 0..2_000 {
        let now = start + Duration::from_millis(10 * step);
        let (ended, still): (Vec<_>, Vec<_>) = running.iter().partition(|(end, _)| *end <= step);
        running = still;
        for (_, refused) in ended {
            if let Some(admission) = &mut admission {
                admission.end(refused, SHARDS, AIM, now);
            }
            if refused * 10 <= SHARDS {
                result.whole += 1;
            } else {
                result.spoilt += 1;
            }
        }
        due += load;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            let rank = 1 + number % 2;
            if admission
                .as_mut()
                .is_some_and(|admission| !admission.begin(rank))
            {
                result.refused[rank as usize] += 1;
                continue;
            }
            let beyond = (running.len() + 1).saturating_sub(ROOM);
            running.push((step + WORK, SHARDS * beyond / (running.len() + 1)));
        }
    }
    result
}

#[test]
fn twice_the_load_is_served_at_more_than_half_of_what_the_leaves_can_do() {
    // 2,000 steps of 10 ms at 8 requests each 100 ms.
    let most = 2_000 / usize::try_from(WORK).expect("small") * ROOM;
    let without = play(1.6, None);
    let with = play(1.6, Some(Admission::default()));
    assert!(without.whole < most / 4, "{without:?}");
    assert!(with.whole > most / 2, "{with:?} of {most}");
    assert!(with.spoilt < with.whole, "{with:?}");
}

#[test]
fn the_less_urgent_are_refused_first() {
    let result = play(1.6, Some(Admission::default()));
    assert!(result.refused[2] > result.refused[1], "{result:?}");
}

#[test]
fn nothing_is_refused_while_the_leaves_have_room() {
    let result = play(0.7, Some(Admission::default()));
    assert_eq!(result.refused, [0; 3], "{result:?}");
    assert_eq!(result.spoilt, 0);
}

#[test]
fn a_request_whose_caller_left_makes_room() {
    let mut admission = Admission::default();
    for _ in 0..1_000 {
        assert!(admission.begin(0));
        admission.leave();
    }
}
