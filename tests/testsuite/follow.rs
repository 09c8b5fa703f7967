//! Whom hosts learn from, and what a host has for those that follow it.

use {
    briarquay::{
        clock::Millis,
        policy::follow::{Shunned, Source, choose, is_behind},
        state::roster::{Leaf, Member, News, Phase, RETURN_TIME, Roster},
        transport::{
            fleet::{
                self, Batch, Held, Missing, Parts, Piece, Pieces, Ready, Snapshot, Standing, Told,
                unpack,
            },
            registry::Entry,
        },
    },
    bytes::Bytes,
    futures_util::stream::BoxStream,
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const NOW: Millis = Millis(50_000);

/// Longer than a source is shunned.
const LATER: Millis = Millis(90_000);

fn member(number: u16, domain: &str, processor: u32) -> Member {
    Member {
        id: format!("entry-{domain}-{number}").into(),
        address: ([10, 1, 0, 1], 7_000 + number).into(),
        domain: domain.into(),
        processor,
        lease: 0,
    }
}

fn domain(name: &str, hosts: u16) -> Vec<Member> {
    (0..hosts).map(|number| member(number, name, 250)).collect()
}

fn source(own: &Member, members: &[Member], shunned: &Shunned, now: Millis) -> Source {
    choose(&own.id, &own.domain, members.iter(), shunned, now)
}

fn of_registry(members: &[Member]) -> Vec<&Member> {
    let shunned = Shunned::default();
    let follows = |own: &&Member| source(own, members, &shunned, NOW) == Source::Registry;
    members.iter().filter(follows).collect()
}

#[test]
fn hosts_of_a_small_domain_all_follow_the_registry() {
    let members = [domain("north", 6), domain("south", 6)].concat();
    assert_eq!(of_registry(&members).len(), 12);
}

#[test]
fn two_hosts_of_a_large_domain_follow_the_registry_and_the_others_follow_them() {
    let members = [domain("north", 28), domain("south", 3)].concat();

    let near = of_registry(&members[..28]);
    let (first, second) = (near[0], near[1]);
    let shunned = Shunned::default();
    let sources: Vec<Source> = members[..28]
        .iter()
        .filter(|own| !near.contains(own))
        .map(|own| source(own, &members, &shunned, NOW))
        .collect();

    assert_eq!(near.len(), 2);
    let of = |member: &Member| {
        let wanted = Source::Host(member.address);
        sources.iter().filter(|source| **source == wanted).count()
    };
    assert_eq!(of(first) + of(second), 26);
    assert!(of(first) >= 5 && of(second) >= 5, "one has nearly all");
}

#[test]
fn sources_grow_with_the_domain_and_share_those_that_follow_them() {
    let members = domain("north", 350);
    let sources = of_registry(&members);
    let shunned = Shunned::default();
    let most = sources.iter().map(|source| {
        let wanted = Source::Host(source.address);
        members
            .iter()
            .filter(|own| self::source(own, &members, &shunned, NOW) == wanted)
            .count()
    });
    assert_eq!(sources.len(), 25);
    assert!(most.max().expect("sources") <= 28, "twice the mean");
}

#[test]
fn a_host_of_a_large_domain_tries_two_sources_before_the_registry() {
    let members = domain("north", 350);
    let followed = of_registry(&members);
    let own = members.iter().find(|own| !followed.contains(own));
    let own = own.expect("most follow others");
    let mut shunned = Shunned::default();
    for _ in 0..2 {
        let Source::Host(failed) = source(own, &members, &shunned, NOW) else {
            panic!("it follows a host");
        };
        shunned.note(failed, NOW);
    }
    assert_eq!(source(own, &members, &shunned, NOW), Source::Registry);
}

#[test]
fn every_order_of_the_members_gives_the_same_sources() {
    let members = domain("north", 12);
    let mut reversed = members.clone();
    reversed.reverse();
    let shunned = Shunned::default();
    for own in &members {
        let expected = source(own, &members, &shunned, NOW);
        assert_eq!(source(own, &reversed, &shunned, NOW), expected);
    }
}

#[test]
fn the_hosts_with_the_most_processor_are_followed() {
    let mut members = domain("north", 10);
    members[3].processor = 500;
    members[8].processor = 400;
    let followed: Vec<&str> = of_registry(&members).iter().map(|own| &*own.id).collect();
    assert_eq!(followed, ["entry-north-3", "entry-north-8"]);
}

#[test]
fn a_source_that_failed_is_left_for_the_other_and_then_for_the_registry() {
    let members = domain("north", 10);
    let followed = of_registry(&members);
    let own = members
        .iter()
        .find(|own| !followed.contains(own))
        .expect("most follow others");
    let mut shunned = Shunned::default();
    let Source::Host(first) = source(own, &members, &shunned, NOW) else {
        panic!("it follows a host");
    };

    shunned.note(first, NOW);
    let Source::Host(second) = source(own, &members, &shunned, NOW) else {
        panic!("it follows the other host");
    };
    shunned.note(second, NOW);

    assert_ne!(first, second);
    assert_eq!(source(own, &members, &shunned, NOW), Source::Registry);
    assert_eq!(source(own, &members, &shunned, LATER), Source::Host(first));
}

#[test]
fn a_source_is_behind_once_it_had_time_to_hear_from_the_registry() {
    let (fresh, old) = (Duration::from_millis(900), Duration::from_millis(1_500));
    let (new, settled) = (Duration::from_millis(100), Duration::from_secs(5));
    assert!(is_behind(old, settled));
    assert!(!is_behind(fresh, settled));
    assert!(
        !is_behind(old, new),
        "it has just been told that it is followed"
    );
}

fn entry(key: &str, value: Option<&'static str>) -> Entry {
    Entry {
        key: key.into(),
        value: value.map(Into::into),
    }
}

fn snapshot(revision: u64) -> Snapshot {
    Snapshot {
        revision,
        entries: Arc::new(Told::new(vec![entry("a", Some("all"))])),
        peers: Vec::new(),
        standing: Standing::default(),
    }
}

fn batch(before: u64, revision: u64) -> Batch {
    Batch {
        before,
        revision,
        entries: Arc::new(Told::new(vec![entry(&revision.to_string(), None)])),
    }
}

fn keys(missing: Missing) -> Vec<String> {
    match missing {
        Missing::Changes(batches) => batches
            .iter()
            .flat_map(|batch| batch.entries.get())
            .map(|entry| entry.key.to_string())
            .collect(),
        Missing::Nothing => Vec::new(),
        Missing::All(all) => vec![format!("all up to {}", all.revision)],
    }
}

#[test]
fn a_follower_gets_the_changes_that_it_misses() {
    let held = Held::default();
    held.set(snapshot(10), None);
    for (before, revision) in [(10, 12), (12, 13), (13, 20)] {
        held.set(snapshot(revision), Some(batch(before, revision)));
    }
    assert_eq!(keys(held.since(20)), Vec::<String>::new());
    assert_eq!(keys(held.since(25)), Vec::<String>::new());
    assert_eq!(keys(held.since(13)), ["20"]);
    // Part of the second batch may be known: it is told again, with all after it.
    assert_eq!(keys(held.since(11)), ["12", "13", "20"]);
}

#[test]
fn a_follower_too_far_behind_or_behind_a_gap_gets_everything() {
    let held = Held::default();
    held.set(snapshot(10), None);
    held.set(snapshot(12), Some(batch(10, 12)));
    assert_eq!(keys(held.since(9)), ["all up to 12"]);

    held.set(snapshot(30), Some(batch(28, 30)));
    assert_eq!(keys(held.since(12)), ["all up to 30"]);
    assert_eq!(keys(held.since(29)), ["30"]);

    held.set(snapshot(40), None);
    assert_eq!(keys(held.since(30)), ["all up to 40"]);
}

#[test]
fn old_changes_make_room_for_new_ones() {
    let held = Held::default();
    for revision in 1..=5_000 {
        held.set(snapshot(revision), Some(batch(revision - 1, revision)));
    }
    assert_eq!(keys(held.since(0)), ["all up to 5000"]);
    assert_eq!(keys(held.since(4_000)).len(), 1_000);
}

#[test]
fn a_followers_doubt_is_its_sources() {
    let mut roster = Roster::default();
    let leaf = Leaf {
        id: "leaf".into(),
        service: "lecturas".into(),
        address: ([10, 1, 64, 7], 8_080).into(),
        domain: "north".into(),
        slots: 2,
        phase: Phase::Serving,
        cold: Duration::ZERO,
        born: 1,
    };
    roster.hear(News::Leaf(leaf), NOW);

    let until = NOW.plus(RETURN_TIME);
    roster.doubt(until);
    roster.hear(News::LeafGone("leaf".into()), NOW);

    assert_eq!(roster.usable().count(), 1, "the entry may come back");
    assert!(roster.tick(until).leaves);
    assert_eq!(roster.usable().count(), 0);
}

/// A host that asks no leaves for others.
struct Idle;

impl Pieces for Idle {
    fn take(&self, _: Piece) -> Result<BoxStream<'static, Parts>, &'static str> {
        Err("idle")
    }
}

/// Entries as leaves of a large fleet have them.
fn many_entries(count: usize) -> Vec<Entry> {
    let entries = (0..count).map(|number| {
        let value = format!(
            "{{\"service\":\"shard-{number}\",\"address\":\"10.1.64.{}:8189\",\"zone\":\"north\",\
             \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"sequence\":1}}",
            number % 250
        );
        Entry {
            key: format!("servers/i-{number:08x}").into(),
            value: Some(value.into()),
        }
    });
    entries.collect()
}

#[test]
fn many_entries_are_told_in_a_fifth_of_their_bytes_and_read_as_they_were() {
    let entries = many_entries(810);
    let plain: usize = entries
        .iter()
        .map(|entry| entry.key.len() + entry.value.as_ref().map_or(0, Bytes::len))
        .sum();
    let told = Told::new(entries.clone());
    let Ready::Packed(packed) = told.ready() else {
        panic!("so many are packed");
    };
    assert!(
        packed.len() * 5 < plain,
        "{} of {plain} bytes",
        packed.len()
    );
    let read = unpack(packed).expect("they can be read");
    let read: Vec<Entry> = read
        .into_iter()
        .map(|entry| Entry {
            key: entry.key.into(),
            value: entry.value,
        })
        .collect();
    assert_eq!(read, entries);
}

#[test]
fn packed_bytes_that_would_fill_the_memory_are_refused() {
    let zeros = vec![0; 64 << 20];
    let packed = zstd::bulk::compress(&zeros, 1).expect("it is compressed");
    assert!(packed.len() < 100_000, "a small message");
    assert!(unpack(&packed).is_err());
    assert!(unpack(b"no frame").is_err());
}

#[tokio::test]
async fn a_followed_host_tells_what_is_new_how_old_and_how_doubtful_it_is() {
    // Arrange
    let held = Held::default();
    held.set(snapshot(10), None);
    held.note_contact(Millis::now());
    held.note_doubt(Millis::now().plus(RETURN_TIME));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    tokio::spawn(fleet::serve(listener, held.clone(), Idle, stop.clone()));

    // Act
    let mut updates = fleet::follow(address, 0).await.expect("it answers");
    let first = updates.next().await.expect("an update");
    held.set(snapshot(12), Some(batch(10, 12)));
    let second = updates.next().await.expect("an update");
    let third = updates.next().await.expect("an update");
    held.stop();
    let last = updates.next().await;

    // Assert
    assert!(first.is_whole);
    assert_eq!((first.revision, first.entries.len()), (10, 1));
    assert!(first.standing.doubt > RETURN_TIME / 2);
    assert!(!second.is_whole);
    assert_eq!(second.entries, [entry("12", None)]);
    assert!(third.entries.is_empty(), "nothing is new");
    assert!(third.standing.age >= Duration::from_millis(300));
    assert!(last.is_err(), "a stopping host is no source");
}
