//! HTTP API for operators.

use std::sync::Arc;

use hs_http::{HttpReply, HttpRequest};
use hyper::Method;
use subtle::ConstantTimeEq;

use super::NodeStatus;
use crate::port::Platform;
use crate::shared::NodeShared;

/// Serves `/v1/status`, `/v1/manifest`, `/metrics`, `/healthz` and `/readyz`.
pub struct ControlApi<P: Platform> {
    shared: Arc<NodeShared<P>>,
}

impl<P: Platform> ControlApi<P> {
    /// Creates the API over the handles of the process.
    pub fn new(shared: Arc<NodeShared<P>>) -> Self {
        Self { shared }
    }

    /// Handles one request and returns its reply. The status and the manifest need the operator
    /// token if the settings contain one.
    pub async fn handle(&self, request: HttpRequest) -> HttpReply {
        if request.method != Method::GET {
            return HttpReply::error(405, "method_not_allowed", "only GET is served here");
        }
        match request.segments().as_slice() {
            ["healthz"] => HttpReply::text(200, "ok\n"),
            ["readyz"] => self.readiness(),
            ["metrics"] => {
                let text = self.shared.metrics.render();
                HttpReply::bytes(200, "text/plain; version=0.0.4", text)
            }
            ["v1", "status"] if self.is_operator(&request) => {
                HttpReply::json(200, &NodeStatus::collect(&self.shared).await)
            }
            ["v1", "manifest"] if self.is_operator(&request) => match self.shared.view() {
                Some(view) => HttpReply::bytes(200, "application/json", view.text.clone()),
                None => HttpReply::error(404, "no_manifest", "no manifest is in force"),
            },
            ["v1", "status" | "manifest"] => HttpReply::error(
                401,
                "unauthorised",
                "the operator token is missing or wrong",
            ),
            _ => HttpReply::error(
                404,
                "unknown_path",
                format!("no such path: {}", request.path),
            ),
        }
    }

    fn readiness(&self) -> HttpReply {
        match self.shared.is_ready() {
            true => HttpReply::text(200, "ready\n"),
            false => HttpReply::text(503, "not ready\n"),
        }
    }

    /// Checks the operator token. The comparison takes constant time, so that response times do not
    /// reveal a prefix of the token.
    fn is_operator(&self, request: &HttpRequest) -> bool {
        match &self.shared.settings.control_token {
            None => true,
            Some(token) => {
                let given = request.bearer_token().unwrap_or_default();
                given.as_bytes().ct_eq(token.as_bytes()).into()
            }
        }
    }
}
