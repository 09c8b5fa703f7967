//! `briarquay completions`: prints shell completions.

use {super::Outcome, clap_complete::Shell};

/// Arguments of `completions`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Shell for which completions are printed.
    shell: Shell,
}

/// Prints completions for `program`.
pub fn execute(args: &Args, mut program: clap::Command) -> Outcome {
    let name = program.get_name().to_owned();
    clap_complete::generate(args.shell, &mut program, name, &mut std::io::stdout());
    Outcome::Done
}
