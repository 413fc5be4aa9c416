//! Reads of the configuration for calls that the one in force would refuse.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use crate::config_state::{ConfigSource, ConfigState};
use crate::port::{CatalogPort, ClockPort};

/// Timeout of a read, for which a client waits.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the configuration, once for all calls that wait for it at a time. Clones share the reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigReader {
    /// When the latest read that is over was sent.
    last_sent: Arc<Mutex<Option<Instant>>>,
}

impl ConfigReader {
    /// Returns once a read has ended that was sent after this call began, or earlier if another one has confirmed the
    /// configuration meanwhile.
    pub(crate) async fn read<P: CatalogPort + ClockPort>(&self, platform: &P, state: &ConfigState) {
        let began_at = platform.boot_now();
        let mut last_sent = self.last_sent.lock().await;
        let is_later = last_sent.is_some_and(|sent| sent >= began_at);
        if is_later || state.current_rules(|| platform.boot_now()).may_refuse {
            return;
        }
        let sent = platform.boot_now();
        let reply = platform.read_config(None, READ_TIMEOUT).await;
        let now = platform.boot_now();
        match reply {
            Ok(reply) => state.record_read(sent, now, &reply),
            Err(error) => state.record_failure(ConfigSource::Read, sent, now, &error),
        }
        *last_sent = Some(sent);
    }
}
