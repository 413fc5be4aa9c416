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

const GENERATED_NAME: &str = "hornbeamshunt.peer.v1.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let options: GenOptions = argh::from_env();
    let peer = Path::new(env!("CARGO_MANIFEST_DIR")).join("../hs-peer");
    let target = peer.join("src/generated").join(GENERATED_NAME);
    let scratch = env::temp_dir().join(format!("hs-gen-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let descriptors = protox::compile(["peer.proto"], [peer.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(&scratch)
        .compile_fds(descriptors)?;
    let fresh = fs::read_to_string(scratch.join(GENERATED_NAME))?;
    fs::remove_dir_all(&scratch)?;
    if !options.check {
        fs::write(&target, fresh)?;
        println!("wrote the peer messages");
        return Ok(ExitCode::SUCCESS);
    }
    if fs::read_to_string(&target)? == fresh {
        println!("the peer messages are up to date");
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("the peer messages are stale: run `cargo run -p hs-gen` and commit the result");
    Ok(ExitCode::FAILURE)
}
