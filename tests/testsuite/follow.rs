//! Which source a host syncs from, and what a host sends to its followers.

use {
    briarquay::{
        clock::Millis,
        collections::Name,
        policy::sync_source::{
            CallInFlight, RegistryContact, Source, SourceBackoff, choose_source, is_stale,
            judge_call,
        },
        state::{
            leaf_limit::Share,
            placements::Decision,
            rate_allocator::Claim,
            revision::Revision,
            rollouts::Directive,
            roster::{Leaf, Member, Phase, Roster, RosterChange, SUSPECT_PERIOD},
        },
        transport::{
            fleet::{
                self, ChangeBatch, CopyProof, EncodedEntries, FleetService, LimitService,
                MissingChanges, OrganisationService, PartialResult, PlacementCall, PlacementEnd,
                PlacementService, QuotaClaim, QuotaGrant, RegistryCopy, RegistryState,
                RelayService, RelayedRequest, RelayedResponse, RolloutReport, RolloutService,
                Subquery, SubqueryService, SyncStatus, WireEntries, unpack,
            },
            registry::Entry,
        },
    },
    bytes::Bytes,
    futures_util::{future::BoxFuture, stream::BoxStream},
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const NOW: Millis = Millis(50_000);

/// After the end of the backoff from a source that failed at [`NOW`].
const AFTER_BACKOFF: Millis = Millis(90_000);

fn member(number: u16, domain: &str, millicores: u32) -> Member {
    Member {
        id: format!("entry-{domain}-{number}").into(),
        address: ([10, 1, 0, 1], 7_000 + number).into(),
        domain: domain.into(),
        millicores,
        lease: 0,
    }
}

fn domain(name: &str, hosts: u16) -> Vec<Member> {
    (0..hosts).map(|number| member(number, name, 250)).collect()
}

fn source(own: &Member, members: &[Member], backoff: &SourceBackoff, now: Millis) -> Source {
    choose_source(&own.id, &own.domain, members.iter(), backoff, now)
}

fn registry_followers(members: &[Member]) -> Vec<&Member> {
    let backoff = SourceBackoff::default();
    let syncs_from_registry =
        |own: &&Member| source(own, members, &backoff, NOW) == Source::Registry;
    members.iter().filter(syncs_from_registry).collect()
}

#[test]
fn hosts_of_a_small_domain_all_sync_from_the_registry() {
    let members = [domain("north", 6), domain("south", 6)].concat();
    assert_eq!(registry_followers(&members).len(), 12);
}

#[test]
fn two_hosts_of_a_large_domain_sync_from_the_registry_and_the_others_from_them() {
    let members = [domain("north", 28), domain("south", 3)].concat();

    let direct = registry_followers(&members[..28]);
    let (first, second) = (direct[0], direct[1]);
    let backoff = SourceBackoff::default();
    let sources: Vec<Source> = members[..28]
        .iter()
        .filter(|own| !direct.contains(own))
        .map(|own| source(own, &members, &backoff, NOW))
        .collect();

    assert_eq!(direct.len(), 2);
    let count_followers = |member: &Member| {
        let expected = Source::Host(member.address);
        sources.iter().filter(|source| **source == expected).count()
    };
    let counts = [first, second].map(count_followers);
    assert_eq!(counts[0] + counts[1], 26);
    assert!(
        counts[0] >= 5 && counts[1] >= 5,
        "one source has nearly all followers"
    );
}

#[test]
fn the_number_of_sources_grows_with_the_domain_and_followers_are_spread() {
    let members = domain("north", 350);
    let sources = registry_followers(&members);
    let backoff = SourceBackoff::default();
    let follower_counts = sources.iter().map(|source| {
        let expected = Source::Host(source.address);
        members
            .iter()
            .filter(|own| self::source(own, &members, &backoff, NOW) == expected)
            .count()
    });
    assert_eq!(sources.len(), 25);
    assert!(
        follower_counts.max().expect("sources") <= 28,
        "more than twice the mean"
    );
}

#[test]
fn a_host_of_a_large_domain_tries_two_sources_before_the_registry() {
    let members = domain("north", 350);
    let direct = registry_followers(&members);
    let own = members.iter().find(|own| !direct.contains(own));
    let own = own.expect("most hosts sync from another host");
    let mut backoff = SourceBackoff::default();
    for _ in 0..2 {
        let Source::Host(failed) = source(own, &members, &backoff, NOW) else {
            panic!("it syncs from a host");
        };
        backoff.record_failure(failed, NOW);
    }
    assert_eq!(source(own, &members, &backoff, NOW), Source::Registry);
}

#[test]
fn every_order_of_the_members_gives_the_same_sources() {
    let members = domain("north", 12);
    let mut reversed = members.clone();
    reversed.reverse();
    let backoff = SourceBackoff::default();
    for own in &members {
        let expected = source(own, &members, &backoff, NOW);
        assert_eq!(source(own, &reversed, &backoff, NOW), expected);
    }
}

#[test]
fn the_hosts_with_the_largest_cpu_share_are_sources() {
    let mut members = domain("north", 10);
    members[3].millicores = 500;
    members[8].millicores = 400;
    let sources: Vec<&str> = registry_followers(&members)
        .iter()
        .map(|own| &*own.id)
        .collect();
    assert_eq!(sources, ["entry-north-3", "entry-north-8"]);
}

#[test]
fn a_failed_source_is_replaced_by_the_other_and_then_by_the_registry() {
    let members = domain("north", 10);
    let direct = registry_followers(&members);
    let own = members
        .iter()
        .find(|own| !direct.contains(own))
        .expect("most hosts sync from another host");
    let mut backoff = SourceBackoff::default();
    let Source::Host(first) = source(own, &members, &backoff, NOW) else {
        panic!("it syncs from a host");
    };

    backoff.record_failure(first, NOW);
    let Source::Host(second) = source(own, &members, &backoff, NOW) else {
        panic!("it syncs from the other host");
    };
    backoff.record_failure(second, NOW);

    assert_ne!(first, second);
    assert_eq!(source(own, &members, &backoff, NOW), Source::Registry);
    assert_eq!(
        source(own, &members, &backoff, AFTER_BACKOFF),
        Source::Host(first)
    );
}

#[test]
fn a_source_is_behind_only_after_it_had_time_for_a_registry_response() {
    let (fresh, old) = (Duration::from_millis(900), Duration::from_millis(1_500));
    let (new, settled) = (Duration::from_millis(100), Duration::from_secs(5));
    assert!(is_stale(old, settled));
    assert!(!is_stale(fresh, settled));
    assert!(!is_stale(old, new), "it has just got its first follower");
}

fn entry(key: &str, value: Option<&'static str>) -> Entry {
    Entry {
        key: key.into(),
        value: value.map(Into::into),
    }
}

fn revision(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn snapshot(number: u64) -> RegistryState {
    RegistryState {
        revision: revision(number),
        entries: Arc::new(EncodedEntries::new(vec![entry("a", Some("all"))])),
        peers: Vec::new(),
        sync_status: SyncStatus::default(),
    }
}

fn batch(before: u64, after: u64) -> ChangeBatch {
    ChangeBatch {
        before: revision(before),
        revision: revision(after),
        entries: Arc::new(EncodedEntries::new(vec![entry(&after.to_string(), None)])),
    }
}

fn keys(missing: MissingChanges) -> Vec<String> {
    match missing {
        MissingChanges::Changes(batches) => batches
            .iter()
            .flat_map(|batch| batch.entries.get())
            .map(|entry| entry.key.to_string())
            .collect(),
        MissingChanges::Nothing => Vec::new(),
        MissingChanges::All(all) => vec![format!("all up to {}", all.revision.number)],
    }
}

#[test]
fn a_follower_gets_the_changes_that_it_lacks() {
    let copy = RegistryCopy::default();
    copy.replace(snapshot(10), None);
    for (before, after) in [(10, 12), (12, 13), (13, 20)] {
        copy.replace(snapshot(after), Some(batch(before, after)));
    }
    assert_eq!(keys(copy.changes_since(revision(20))), Vec::<String>::new());
    assert_eq!(keys(copy.changes_since(revision(25))), Vec::<String>::new());
    assert_eq!(keys(copy.changes_since(revision(13))), ["20"]);
    // The follower may have a part of the first batch: it gets the whole batch and all
    // later ones.
    assert_eq!(keys(copy.changes_since(revision(11))), ["12", "13", "20"]);
}

#[test]
fn a_follower_too_far_behind_or_before_a_gap_gets_all_entries() {
    let copy = RegistryCopy::default();
    copy.replace(snapshot(10), None);
    copy.replace(snapshot(12), Some(batch(10, 12)));
    assert_eq!(keys(copy.changes_since(revision(9))), ["all up to 12"]);

    copy.replace(snapshot(30), Some(batch(28, 30)));
    assert_eq!(keys(copy.changes_since(revision(12))), ["all up to 30"]);
    assert_eq!(keys(copy.changes_since(revision(29))), ["30"]);

    copy.replace(snapshot(40), None);
    assert_eq!(keys(copy.changes_since(revision(30))), ["all up to 40"]);
}

/// A restored registry gives out revisions again that a follower has from before.
#[test]
fn a_follower_of_another_era_gets_all_entries() {
    let copy = RegistryCopy::default();
    copy.replace(snapshot(10), None);
    copy.replace(snapshot(12), Some(batch(10, 12)));
    let restored = |number| Revision { era: 2, number };
    let state = RegistryState {
        revision: restored(11),
        ..snapshot(11)
    };
    copy.replace(state, None);
    assert_eq!(keys(copy.changes_since(revision(12))), ["all up to 11"]);

    let state = RegistryState {
        revision: restored(12),
        ..snapshot(12)
    };
    let batch = ChangeBatch {
        before: restored(11),
        revision: restored(12),
        ..batch(11, 12)
    };
    copy.replace(state, Some(batch));
    assert_eq!(keys(copy.changes_since(revision(12))), ["all up to 12"]);
    assert_eq!(keys(copy.changes_since(restored(11))), ["12"]);
    assert_eq!(keys(copy.changes_since(restored(12))), Vec::<String>::new());
}

#[test]
fn old_changes_are_dropped_for_new_ones() {
    let copy = RegistryCopy::default();
    for number in 1..=5_000 {
        copy.replace(snapshot(number), Some(batch(number - 1, number)));
    }
    assert_eq!(keys(copy.changes_since(revision(0))), ["all up to 5000"]);
    assert_eq!(keys(copy.changes_since(revision(4_000))).len(), 1_000);
}

#[test]
fn a_follower_takes_over_the_suspect_period_of_its_source() {
    let mut roster = Roster::default();
    let leaf = Leaf {
        id: "leaf".into(),
        service: "lecturas".into(),
        version: Name::default(),
        address: ([10, 1, 64, 7], 8_080).into(),
        domain: "north".into(),
        slots: 2,
        phase: Phase::Serving,
        warmup_left: Duration::ZERO,
        started_ms: 1,
        sequence: None,
    };
    roster.apply_change(RosterChange::Leaf(leaf), NOW);

    let until = NOW.plus(SUSPECT_PERIOD);
    roster.extend_suspect_period(until);
    roster.apply_change(RosterChange::LeafGone("leaf".into()), NOW);

    assert_eq!(roster.usable().count(), 1, "the removal is deferred");
    assert!(roster.apply_due_changes(until).leaves);
    assert_eq!(roster.usable().count(), 0);
}

/// A host that accepts no subqueries.
struct Idle;

impl OrganisationService for Idle {
    fn take_quota(&self, _host: &Name, _claims: Vec<QuotaClaim>) -> Vec<QuotaGrant> {
        Vec::new()
    }

    fn prove_current(&self) -> Option<CopyProof> {
        None
    }

    fn handle_with_key(
        &self,
        _request: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str> {
        Err("not here")
    }
}

impl PlacementService for Idle {
    fn place(&self, _call: PlacementCall) -> Result<BoxFuture<'static, Decision>, &'static str> {
        Err("not here")
    }

    fn end_place(&self, _end: PlacementEnd) {}
}

impl RolloutService for Idle {
    fn record_report(&self, _: RolloutReport) -> Option<Vec<Directive>> {
        None
    }
}

impl LimitService for Idle {
    fn share_limits(&self, _: &Name, _: Vec<Claim>) -> Vec<Share> {
        Vec::new()
    }
}

impl SubqueryService for Idle {
    fn start(&self, _: Subquery) -> Result<BoxStream<'static, PartialResult>, &'static str> {
        Err("idle")
    }
}

impl RelayService for Idle {
    fn handle(
        &self,
        _: RelayedRequest,
    ) -> Result<BoxFuture<'static, RelayedResponse>, &'static str> {
        Err("idle")
    }
}

/// Returns registry entries like those of the leaves of a large fleet.
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
fn many_entries_are_compressed_to_a_fifth_and_decoded_unchanged() {
    let entries = many_entries(810);
    let plain_bytes: usize = entries
        .iter()
        .map(|entry| entry.key.len() + entry.value.as_ref().map_or(0, Bytes::len))
        .sum();
    let encoded = EncodedEntries::new(entries.clone());
    let WireEntries::Packed(packed) = encoded.encoded() else {
        panic!("the entries are not compressed");
    };
    assert!(
        packed.len() * 5 < plain_bytes,
        "{} of {plain_bytes} bytes",
        packed.len()
    );
    let decoded = unpack(packed).expect("valid entries");
    let decoded: Vec<Entry> = decoded
        .into_iter()
        .map(|entry| Entry {
            key: entry.key.into(),
            value: entry.value,
        })
        .collect();
    assert_eq!(decoded, entries);
}

#[test]
fn compressed_entries_that_would_exhaust_memory_are_rejected() {
    let zeros = vec![0; 64 << 20];
    let packed = zstd::bulk::compress(&zeros, 1).expect("compression succeeds");
    assert!(packed.len() < 100_000, "small when compressed");
    assert!(unpack(&packed).is_err());
    assert!(unpack(b"no frame").is_err());
}

#[tokio::test]
async fn a_source_sends_changes_with_their_age_and_the_suspect_period() {
    // Arrange
    let copy = RegistryCopy::default();
    copy.replace(snapshot(10), None);
    copy.record_contact(Millis::now());
    copy.record_suspect_period(Millis::now().plus(SUSPECT_PERIOD));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let service = FleetService {
        registry_copy: copy.clone(),
        subqueries: Idle,
        limits: Idle,
        relays: Idle,
        organisations: Idle,
        placements: Idle,
        rollouts: Idle,
    };
    tokio::spawn(fleet::serve(listener, service, stop.clone()));

    // Act
    let mut updates = fleet::subscribe(address, Revision::default())
        .await
        .expect("the source responds");
    let first = updates.next().await.expect("an update");
    copy.replace(snapshot(12), Some(batch(10, 12)));
    let second = updates.next().await.expect("an update");
    let third = updates.next().await.expect("an update");
    copy.stop();
    let last = updates.next().await;

    // Assert
    assert!(first.is_full);
    assert_eq!((first.revision, first.entries.len()), (revision(10), 1));
    assert!(first.sync_status.suspect_left > SUSPECT_PERIOD / 2);
    assert!(!second.is_full);
    assert_eq!(second.entries, [entry("12", None)]);
    assert!(third.entries.is_empty(), "there are no changes");
    assert!(third.sync_status.age >= Duration::from_millis(300));
    assert!(last.is_err(), "a stopping host is not a source");
}

#[test]
fn a_call_goes_on_unless_another_one_shows_that_it_may_never_end() {
    let contact = |is_lost, era| RegistryContact { is_lost, era };
    let judge = |before, now| judge_call(before, now, 2);

    assert_eq!(
        judge(contact(false, 2), contact(true, 2)),
        CallInFlight::Fails
    );
    assert_eq!(
        judge(contact(true, 2), contact(false, 2)),
        CallInFlight::Restarts
    );
    assert_eq!(
        judge(contact(false, 2), contact(false, 3)),
        CallInFlight::Restarts
    );
    assert_eq!(
        judge(contact(false, 0), contact(false, 2)),
        CallInFlight::Continues
    );
}
