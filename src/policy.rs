//! What an entry host decides for a request, one decision a module: facts in, a
//! verdict out. No socket, clock or task inside; ages and times come as arguments.

pub mod admit;
pub mod divide;
pub mod follow;
pub mod hedge;
pub mod merge;
pub mod place;
pub mod reassign;
pub mod refuse;
pub mod retry;
pub mod split;
pub mod wait;
