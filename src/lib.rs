//! A query tier over many shards that contains slow and failing parts.
//!
//! A caller's query goes in at any daemon and comes back as one answer, from one
//! snapshot of the index, with its true coverage:
//!
//! 1. [`transport::caller`] reads the request and its deadline.
//! 2. [`entry`] pins a snapshot, plans one sub-request a shard, and sends them in
//!    one batch to each owner.
//! 3. [`owner`] lets each sub-request through the gate of its leaf: slots, queue,
//!    ramp, lease, failure domain. Only the owner of a leaf sends to it.
//! 4. [`transport::targets`] sends it, and says afterwards whether it may have run.
//! 5. `entry` gathers the replies, asks replicas of late or failed shards within a
//!    budget, and answers.
//!
//! Which daemon owns which leaf, under which lease and which configuration, is
//! decided in [`coordination`] by plain state machines; [`coordinator`] carries out what
//! they decide. What is known of leaves, versions and budgets stands in [`state`].
//!
//! # Example
//!
//! A whole deployment in one process, with stand-ins for the platform's store and
//! the targets:
//!
//! ```
//! use briarquay::deployment::{Deployment, Plan};
//! use standin::client::{Ask, Caller};
//! use std::time::Duration;
//!
//! # fn main() -> eyre::Result<()> {
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let plan = Plan::new(include_str!("../examples/laundry.yaml"), 3);
//! let deployment = Deployment::start(plan).await?;
//! let caller = Caller::new(deployment.entries()[0], deployment.history.clone());
//! let ask = Ask::query("shelf-keeper", "ticket-1", Duration::from_secs(2));
//! let answer = caller.ask(&ask).await;
//! assert_eq!((answer.answered, answer.total), (2, 2));
//! # Ok(())
//! # })
//! # }
//! ```

pub mod clock;
pub mod cmd;
pub mod collections;
pub mod coordination;
pub mod coordinator;
pub mod daemon;
pub mod declaration;
pub mod deployment;
pub mod entry;
pub mod gateway;
pub mod owner;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod state;
pub mod timer;
pub mod transport;

pub use self::{
    daemon::Daemon, declaration::Declaration, protocol::verdict::Verdict, settings::Settings,
};
