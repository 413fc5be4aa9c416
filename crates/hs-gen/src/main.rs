//! Generates the committed Rust code of the messages between entry processes from `.proto` files.
//!
//! `cargo run -p hs-gen` writes the code. `cargo run -p hs-gen -- --check` only compares it with
//! the committed code and exits with status 1 if that is stale.

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::{env, fs};

/// Generates the committed code of the messages between entry processes.
#[derive(argh::FromArgs)]
struct GenOptions {
    /// compare with the committed code instead of writing it
    #[argh(switch)]
    check: bool,
}

/// One `.proto` file and the code that is generated from it.
struct MessageSet {
    /// Directory name of the crate, a sibling of this one.
    crate_name: &'static str,
    /// File name in the `proto` directory of the crate.
    proto: &'static str,
    /// File name in the `src/generated` directory of the crate.
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
                "the generated messages of {} are stale: run `cargo run -p hs-gen` and commit the result",
                set.crate_name
            );
            return Ok(ExitCode::FAILURE);
        }
    }
    println!("the generated messages are up to date");
    Ok(ExitCode::SUCCESS)
}

/// Generates the code of one message set and writes it, or with `check` compares it with the
/// committed code. Returns whether the committed code is up to date.
fn generate(set: &MessageSet, check: bool) -> Result<bool, Box<dyn Error>> {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("..")
        .join(set.crate_name);
    let committed_path = crate_dir.join("src/generated").join(set.generated);
    let temp_dir = env::temp_dir().join(format!("hs-gen-{}", std::process::id()));
    fs::create_dir_all(&temp_dir)?;
    let descriptors = protox::compile([set.proto], [crate_dir.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(&temp_dir)
        .compile_fds(descriptors)?;
    let generated = fs::read_to_string(temp_dir.join(set.generated))?;
    fs::remove_dir_all(&temp_dir)?;
    if check {
        return Ok(fs::read_to_string(&committed_path)? == generated);
    }
    fs::write(&committed_path, generated)?;
    Ok(true)
}
