//! Regenerates the committed peer messages.
//!
//! `cargo run -p hs-gen` writes them; `cargo run -p hs-gen -- --check` only compares and exits with
//! status 1 if they are stale.

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::{env, fs};

/// Regenerates the committed peer messages.
#[derive(argh::FromArgs)]
struct GenOptions {
    /// compare with the committed code instead of writing it
    #[argh(switch)]
    check: bool,
}

/// Messages of one crate.
struct MessageSet {
    /// Folder of the crate, beside this one.
    crate_name: &'static str,
    /// File under `proto`.
    proto: &'static str,
    /// File under `src/generated`.
    generated: &'static str,
}

const MESSAGE_SETS: [MessageSet; 2] = [
    MessageSet {
        crate_name: "hs-peer",
        proto: "peer.proto",
        generated: "hornbeamshunt.peer.v1.rs",
    },
    MessageSet {
        crate_name: "hs-control",
        proto: "control.proto",
        generated: "hornbeamshunt.control.v1.rs",
    },
];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let options: GenOptions = argh::from_env();
    for set in &MESSAGE_SETS {
        if !generate(set, options.check)? {
            eprintln!(
                "the messages of {} are stale: run `cargo run -p hs-gen` and commit the result",
                set.crate_name
            );
            return Ok(ExitCode::FAILURE);
        }
    }
    println!("the peer messages are up to date");
    Ok(ExitCode::SUCCESS)
}

/// Writes the messages, or compares them. Returns whether they are up to date.
fn generate(set: &MessageSet, check: bool) -> Result<bool, Box<dyn Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(set.crate_name);
    let target = folder.join("src/generated").join(set.generated);
    let scratch = env::temp_dir().join(format!("hs-gen-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let descriptors = protox::compile([set.proto], [folder.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(&scratch)
        .compile_fds(descriptors)?;
    let fresh = fs::read_to_string(scratch.join(set.generated))?;
    fs::remove_dir_all(&scratch)?;
    if check {
        return Ok(fs::read_to_string(&target)? == fresh);
    }
    fs::write(&target, fresh)?;
    Ok(true)
}
