//! `undrain` command: allows new work on a worker again.

use std::net::SocketAddr;

use argh::FromArgs;

use crate::draining::DrainChange;
use crate::exit::{CommandError, CommandExit};
use crate::rollout::ManifestRollout;

/// publish the manifest in the store with a worker removed from `draining`
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct UndrainCommand {
    /// name of the worker
    #[argh(positional)]
    worker: String,

    /// address of the store
    #[argh(option)]
    store: SocketAddr,

    /// wait until the manifest is in effect on every --control
    #[argh(switch)]
    wait: bool,

    /// longest wait in seconds (default 30, at most 3600)
    #[argh(option, default = "30")]
    wait_s: u64,

    /// operator address of an entry process; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,

    /// file with the operators' token; default: environment variable HORNBEAMSHUNT_TOKEN
    #[argh(option)]
    token_file: Option<String>,
}

impl UndrainCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let rollout = ManifestRollout::new(
            self.wait,
            self.wait_s,
            &self.control,
            self.token_file.as_deref(),
        )?;
        DrainChange::Remove
            .publish(&self.worker, self.store, rollout)
            .await
    }
}
