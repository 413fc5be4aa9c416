//! `publish` command: publishes a manifest under the next revision.

use std::net::SocketAddr;

use argh::FromArgs;
use hs_config::parse_manifest;
use hs_http::HttpClient;
use hs_node::port::HttpStore;

use crate::exit::{CommandError, CommandExit};
use crate::file;
use crate::publisher::{ManifestPublisher, PublishOutcome};
use crate::rollout::{ManifestRollout, report_and_wait};

/// publish a manifest under the next revision
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct PublishCommand {
    /// manifest file; its revision field is ignored
    #[argh(positional)]
    manifest: String,

    /// address of the store
    #[argh(option)]
    store: SocketAddr,

    /// publish only if this is the manifest revision in the store
    #[argh(option)]
    if_revision: Option<u64>,

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

impl PublishCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let rollout = ManifestRollout::new(
            self.wait,
            self.wait_s,
            &self.control,
            self.token_file.as_deref(),
        )?;
        let text = file::read(&self.manifest)?;
        let manifest = match parse_manifest(&text) {
            Ok(manifest) => manifest,
            Err(error) => {
                for finding in &error.findings {
                    println!("{}: {finding}", self.manifest);
                }
                return Ok(CommandExit::Failed);
            }
        };
        let publisher = ManifestPublisher::new(HttpStore::new(HttpClient::default(), self.store));
        let stored = publisher.read().await?;
        if self
            .if_revision
            .is_some_and(|expected| expected != stored.revision)
        {
            let winner = Some(stored.revision);
            return Ok(report_and_wait(PublishOutcome::Conflict { winner }, None).await);
        }
        let outcome = publisher.replace(&stored, manifest).await?;
        Ok(report_and_wait(outcome, rollout).await)
    }
}
