//! Property tests of merged replies, traffic splits and routes, with random inputs.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    briarquay::{
        collections::Map,
        policy::{
            merge::{self, RECORD_BYTES},
            traffic_split::TrafficSplit,
        },
        state::routes::{CallerLimits, Destination, Repeats, Route, RouteTable, SplitService},
    },
    bytes::Bytes,
    std::time::Duration,
};

#[test]
fn merged_replies_are_the_greatest_records_in_descending_order() {
    arbtest(|random: &mut Unstructured<'_>| {
        let mut bodies = Vec::new();
        for _ in 0..random.int_in_range(0..=6)? {
            let length = random.int_in_range(0..=80)?;
            // Few different bytes make equal records likely.
            let mut body = Vec::new();
            for _ in 0..length {
                body.push(random.int_in_range(0..=1)?);
            }
            bodies.push(Bytes::from(body));
        }
        let limit = random.int_in_range(0..=12)?;
        let mut expected: Vec<&[u8]> = bodies
            .iter()
            .flat_map(|body| body.chunks_exact(RECORD_BYTES))
            .collect();
        expected.sort_unstable();
        expected.reverse();
        expected.truncate(limit);
        assert_eq!(
            merge::merge_greatest(bodies.iter(), limit),
            expected.concat()
        );
        Ok(())
    })
    .seed(0x00B8_7A40_0002_0000)
    .run();
}

#[test]
fn a_split_keeps_its_weights_over_few_requests() {
    arbtest(|random: &mut Unstructured<'_>| {
        let mut parts = Vec::new();
        for number in 0..random.int_in_range(1..=4)? {
            parts.push(SplitService {
                service: format!("s{number}").into(),
                weight: f64::from(random.int_in_range::<u8>(1..=9)?),
            });
        }
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        let mut split = TrafficSplit::default();
        let mut counts = vec![0.0; parts.len()];
        for number in 1..=40 {
            counts[split.choose_service(&parts).expect("there are parts")] += 1.0;
            for (part, count) in parts.iter().zip(&counts) {
                let expected = part.weight / total * f64::from(number);
                assert!(
                    (count - expected).abs() <= 2.0,
                    "{count} requests, expected {expected}, after {number}"
                );
            }
        }
        Ok(())
    })
    .seed(0x00B8_7A40_0003_0000)
    .run();
}

#[test]
fn a_split_with_only_zero_weights_chooses_no_part() {
    let part = SplitService {
        service: "s".into(),
        weight: 0.0,
    };
    assert_eq!(TrafficSplit::default().choose_service(&[part]), None);
}

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        is_public: false,
        repeats: Repeats::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        destination: Destination::Split(Vec::new()),
    }
}

#[test]
fn the_longest_matching_prefix_is_chosen_in_any_order() {
    arbtest(|random: &mut Unstructured<'_>| {
        let random_path = |random: &mut Unstructured<'_>| -> arbtest::arbitrary::Result<String> {
            let mut text = String::from("/");
            for _ in 0..random.int_in_range(0..=3)? {
                text.push_str(random.choose(&["a/", "b/"])?);
            }
            Ok(text)
        };
        let mut prefixes = Vec::new();
        for _ in 0..5 {
            prefixes.push(random_path(random)?);
        }
        let path = random_path(random)? + "x";
        let routes = prefixes.iter().map(|prefix| route(prefix)).collect();
        let table = RouteTable::new(1, CallerLimits::default(), routes, Map::default());
        let found = table.route("desk.example", &path);
        let matching = prefixes
            .iter()
            .filter(|prefix| path.starts_with(prefix.as_str()));
        let longest = matching.map(String::len).max();
        assert_eq!(found.map(|route| route.prefix.len()), longest);
        Ok(())
    })
    .seed(0x00B8_7A40_0004_0000)
    .run();
}
