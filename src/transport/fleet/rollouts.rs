//! Reports of the replies of versions that are rolled out, between hosts.

use crate::{
    collections::Name,
    protocol::generated::{
        ReplyCounts, RolloutReply, RolloutReport as WireReport, RolloutStage,
        RouteReplies as WireReplies, ServiceRollout,
    },
    state::rollouts::{Directive, Phase, RouteCounts, ServiceReport, Stage, Tally},
};

/// What a host reports to the driver of rollouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// The reporting host.
    pub host: Name,
    /// Number of its process.
    pub process: u64,
    /// Its open orders.
    pub services: Vec<ServiceReport>,
}

/// Drives rollouts.
pub trait RolloutService: Send + Sync + 'static {
    /// Records a host's report, and returns what the host is to do; `None` when this host does
    /// not drive rollouts.
    fn record_report(&self, report: RolloutReport) -> Option<Vec<Directive>>;
}

/// Encodes a report.
pub(super) fn encode_report(report: RolloutReport) -> WireReport {
    let services = report.services.into_iter().map(|service| ServiceRollout {
        service: service.service.to_string(),
        order: service.order,
        phase: encode_phase(service.phase),
        former_in_flight: service.former_in_flight,
        routes: service.routes.iter().map(encode_counts).collect(),
    });
    WireReport {
        host: report.host.to_string(),
        process: report.process,
        services: services.collect(),
    }
}

/// Decodes a report.
pub(super) fn decode_report(report: WireReport) -> RolloutReport {
    let services = report.services.into_iter().map(|service| ServiceReport {
        service: service.service.into(),
        order: service.order,
        phase: decode_phase(service.phase),
        former_in_flight: service.former_in_flight,
        routes: service.routes.into_iter().map(decode_counts).collect(),
    });
    RolloutReport {
        host: report.host.into(),
        process: report.process,
        services: services.collect(),
    }
}

/// Encodes a reply; `None` when this host does not drive rollouts.
pub(super) fn encode_directives(directives: Option<Vec<Directive>>) -> RolloutReply {
    let is_driver = directives.is_some();
    let stages = directives.into_iter().flatten();
    let stages = stages.map(|Directive { stage, share }| RolloutStage {
        service: stage.service.to_string(),
        order: stage.order,
        target: stage.target.to_string(),
        former: stage.former.iter().map(ToString::to_string).collect(),
        phase: encode_phase(Some(stage.phase)),
        started_ms: stage.started_ms,
        all: stage.all,
        sent: stage.sent,
        share,
    });
    RolloutReply {
        is_driver,
        stages: stages.collect(),
    }
}

/// Decodes a reply; `None` when the other host does not drive rollouts.
pub(super) fn decode_directives(reply: RolloutReply) -> Option<Vec<Directive>> {
    let stages = reply.stages.into_iter().filter_map(|stage| {
        let share = if stage.share.is_finite() {
            stage.share.clamp(0.0, 1.0)
        } else {
            0.0
        };
        Some(Directive {
            stage: Stage {
                phase: decode_phase(stage.phase)?,
                service: stage.service.into(),
                order: stage.order,
                target: stage.target.into(),
                former: stage.former.into_iter().map(Name::from).collect(),
                started_ms: stage.started_ms,
                all: stage.all,
                sent: stage.sent,
            },
            share,
        })
    });
    reply.is_driver.then(|| stages.collect())
}

fn encode_counts((route, counts): &(Name, RouteCounts)) -> WireReplies {
    WireReplies {
        route: route.to_string(),
        target: Some(encode_tally(counts.target)),
        former: Some(encode_tally(counts.former)),
    }
}

fn decode_counts(replies: WireReplies) -> (Name, RouteCounts) {
    let counts = RouteCounts {
        target: decode_tally(replies.target),
        former: decode_tally(replies.former),
    };
    (replies.route.into(), counts)
}

fn encode_tally(tally: Tally) -> ReplyCounts {
    ReplyCounts {
        sent: tally.sent,
        replies: tally.replies,
        failed: tally.failed,
        slow: tally.slow,
    }
}

fn decode_tally(counts: Option<ReplyCounts>) -> Tally {
    let counts = counts.unwrap_or_default();
    Tally {
        sent: counts.sent,
        replies: counts.replies,
        failed: counts.failed,
        slow: counts.slow,
    }
}

fn encode_phase(phase: Option<Phase>) -> u32 {
    match phase {
        None => 0,
        Some(Phase::Trial) => 1,
        Some(Phase::Full) => 2,
        Some(Phase::RolledBack) => 3,
        Some(Phase::Completed) => 4,
    }
}

fn decode_phase(phase: u32) -> Option<Phase> {
    match phase {
        1 => Some(Phase::Trial),
        2 => Some(Phase::Full),
        3 => Some(Phase::RolledBack),
        4 => Some(Phase::Completed),
        _ => None,
    }
}
