//! Writes the committed types of `proto/peer.proto`.
//!
//! Run by hand from this folder after a change to the messages: `cargo run`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["../../proto/peer.proto"], ["../../proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir("../../src/protocol/generated")
        .compile_fds(files)?;
    Ok(())
}
