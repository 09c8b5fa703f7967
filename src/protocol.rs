//! Messages between daemons, responses to callers, verdicts, and the headers of a platform.

pub mod answer;
pub mod dialect;
pub mod fingerprint;
pub mod message;
pub mod verdict;
pub mod wire;

/// Types generated from `proto/peer.proto`; see `tools/codegen`.
#[expect(missing_docs, clippy::pedantic, reason = "generated code")]
pub mod generated {
    include!("protocol/generated/briarquay.peer.v1.rs");
}
