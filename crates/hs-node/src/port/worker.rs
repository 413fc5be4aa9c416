//! HTTP adapter to workers.

use std::time::Duration;

use hs_http::{CallReply, HttpClient};
use hs_wire::{LeaseGrant, LeaseRequest, StartReply, StartRequest, StopRequest, TaskView, WorkId};
use serde::de::DeserializeOwned;

use super::{PortError, WorkerPort};

/// HTTP client of the workers, with one connection pool for all of them.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    client: HttpClient,
}

impl HttpWorkers {
    /// Creates the adapter.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

fn parse<T: DeserializeOwned>(
    operation: &'static str,
    address: &str,
    reply: &CallReply,
) -> Result<T, PortError> {
    match reply.status {
        200 => reply
            .json()
            .map_err(|error| PortError::unreadable(operation, address, error)),
        _ => Err(PortError::from_reply(operation, address, reply)),
    }
}

/// Parses a reply about one task. A reply about another task is unreadable.
fn parse_task(
    operation: &'static str,
    address: &str,
    id: &WorkId,
    reply: &CallReply,
) -> Result<TaskView, PortError> {
    let task = parse::<StartReply>(operation, address, reply)?.task;
    if task.id == *id {
        return Ok(task);
    }
    let cause = format!("asked for task {id}, got task {}", task.id);
    Err(PortError::unreadable(operation, address, cause))
}

impl WorkerPort for HttpWorkers {
    async fn lease(
        &self,
        address: &str,
        request: &LeaseRequest,
        call_timeout: Duration,
    ) -> Result<LeaseGrant, PortError> {
        let operation = "worker lease";
        let reply = self
            .client
            .post_json(operation, address, "/lease", request, call_timeout)
            .await?;
        parse(operation, address, &reply)
    }

    async fn start(
        &self,
        address: &str,
        request: &StartRequest,
        call_timeout: Duration,
    ) -> Result<TaskView, PortError> {
        let operation = "task start";
        let reply = self
            .client
            .post_json(operation, address, "/start", request, call_timeout)
            .await?;
        parse_task(operation, address, &request.id, &reply)
    }

    async fn task(
        &self,
        address: &str,
        id: &WorkId,
        wait: Duration,
        call_timeout: Duration,
    ) -> Result<Option<TaskView>, PortError> {
        let operation = "task query";
        let path = format!("/tasks/{id}?wait_ms={}", wait.as_millis());
        let reply = self
            .client
            .get(operation, address, &path, call_timeout)
            .await?;
        match reply.status {
            404 => Ok(None),
            _ => parse_task(operation, address, id, &reply).map(Some),
        }
    }

    async fn stop(
        &self,
        address: &str,
        request: &StopRequest,
        call_timeout: Duration,
    ) -> Result<(), PortError> {
        let operation = "task stop";
        let reply = self
            .client
            .post_json(operation, address, "/stop", request, call_timeout)
            .await?;
        match reply.status {
            200 => Ok(()),
            _ => Err(PortError::from_reply(operation, address, &reply)),
        }
    }
}
