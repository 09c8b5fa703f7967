//! A query tier over many shards that limits the effects of slow and failing targets.
//!
//! A caller sends a query to any daemon and gets one response, from one snapshot of the index,
//! with its actual coverage:
//!
//! 1. [`transport::caller`] reads the request and its deadline.
//! 2. [`entry`] selects a snapshot, plans one sub-request per shard, and sends the sub-requests
//!    in one batch to each owner.
//! 3. [`owner`] admits each sub-request to its leaf, subject to slots, queue, warm-up, lease and
//!    failure domain. Only the owner of a leaf sends to it.
//! 4. [`transport::targets`] sends the sub-request and reports whether it may have run.
//! 5. `entry` collects the replies, sends hedges and retries for late or failed shards within a
//!    budget, and responds.
//!
//! State machines without I/O in [`coordination`] decide which daemon owns which leaf, under
//! which lease and which configuration; [`coordinator`] executes their decisions. [`state`] has
//! the state of leaves, versions and budgets.
//!
//! # Example
//!
//! A complete deployment in one process, with stand-ins for the platform's store and the
//! targets:
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
