//! Routes HTTP requests to their handlers.

use super::answer::{self, outcome_label};
use super::error::ApiError;
use super::in_force::{InForceQuery, report_answer};
use super::query_request::{QueryHeaders, read_body};
use crate::clock::Clock;
use crate::frontend::Frontend;
use crate::metrics::Metrics;
use crate::state::DaemonState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::in_force::IN_FORCE_PATH;
use tansylead_types::settings::TimingSettings;
use tansylead_types::{Moment, QueryAnswer, ServiceDefinition, ServiceName};

const QUERY_PATH_PREFIX: &str = "/v1/services/";
const QUERY_PATH_SUFFIX: &str = "/query";
/// Retry time given to callers late in a planned stop; longer than the idle time that ends the
/// stop.
const RETRY_AFTER_STOPPING: Duration = Duration::from_secs(5);

/// Answers the requests of one daemon's callers.
#[derive(Debug)]
pub struct Router {
    state: Arc<DaemonState>,
    frontend: Frontend,
    timing: TimingSettings,
    clock: Clock,
}

impl Router {
    /// A router of a daemon.
    pub fn new(state: Arc<DaemonState>, frontend: Frontend, timing: TimingSettings) -> Self {
        Self {
            state,
            frontend,
            timing,
            clock: Clock,
        }
    }

    /// Answers one request. During a planned stop the answer asks to close the connection.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = self.clock.now();
        let mut response = match self.route(request, arrived).await {
            Ok(response) => response,
            Err(error) => {
                let code = error.code();
                self.metrics()
                    .request_errors
                    .with_label_values(&[code])
                    .inc();
                error.response()
            }
        };
        if self.state.is_draining() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn metrics(&self) -> &Metrics {
        self.state.metrics()
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        arrived: Moment,
    ) -> Result<Response<Full<Bytes>>, ApiError> {
        let path = request.uri().path();
        if let Some(service) = query_service(path) {
            let service = service.to_owned();
            require_method(&request, Method::POST, "POST")?;
            return self.query(&service, request, arrived).await;
        }
        match path {
            "/healthz" | "/readyz" | "/metrics" | "/v1/status" | IN_FORCE_PATH => {}
            _ => {
                return Err(ApiError::UnknownPath {
                    path: path.to_owned(),
                });
            }
        }
        require_method(&request, Method::GET, "GET")?;
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "text/plain", "ok\n".to_owned()),
            "/readyz" => self.readiness().await,
            "/metrics" => self.metrics_text(),
            IN_FORCE_PATH => self.in_force(request.uri().query()).await,
            _ => json_response(StatusCode::OK, &self.state.status().await),
        }
    }

    async fn readiness(&self) -> Result<Response<Full<Bytes>>, ApiError> {
        let readiness = self.state.readiness().await;
        let status = match readiness.ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        json_response(status, &readiness)
    }

    /// On which daemons a revision is in force.
    async fn in_force(&self, query: Option<&str>) -> Result<Response<Full<Bytes>>, ApiError> {
        let query = InForceQuery::parse(query.unwrap_or_default())?;
        let report = self
            .state
            .cluster()
            .in_force(query.revision, query.wait)
            .await;
        let report = report.ok_or_else(|| internal_error("the cluster task has ended"))?;
        json_response(StatusCode::OK, &report_answer(query.revision, report))
    }

    fn metrics_text(&self) -> Result<Response<Full<Bytes>>, ApiError> {
        self.state.refresh_metrics();
        let rendered = self.metrics().text().map_err(internal_error)?;
        text_response(StatusCode::OK, "text/plain; version=0.0.4", rendered)
    }

    async fn query(
        &self,
        service: &str,
        request: Request<Incoming>,
        arrived: Moment,
    ) -> Result<Response<Full<Bytes>>, ApiError> {
        if self.state.is_refusing() {
            return Err(ApiError::Stopping {
                retry_after: RETRY_AFTER_STOPPING,
            });
        }
        let definition = self.definition(service)?;
        let now = self.clock.wall();
        let headers = QueryHeaders::read(request.headers(), &definition, &self.timing, now)?;
        let deadline = arrived + headers.time_left();
        let body = read_body(request.into_body(), &definition).await?;
        let query = headers.into_request(&definition, body);
        let _in_progress = self.state.count_query();
        let answer = self.frontend.execute(query, deadline).await;
        self.count_answer(&answer, &definition, arrived);
        answer::response(answer)
    }

    fn definition(&self, service: &str) -> Result<Arc<ServiceDefinition>, ApiError> {
        let unknown = || ApiError::UnknownService {
            service: service.to_owned(),
        };
        let name: ServiceName = service.parse().map_err(|_| unknown())?;
        let configuration = self.frontend.routes().configuration();
        if let Some(definition) = configuration.service(&name) {
            return Ok(Arc::clone(definition));
        }
        if configuration.is_empty() {
            return Err(ApiError::NotConfigured {
                retry_after: self.frontend.retry_after(),
            });
        }
        Err(unknown())
    }

    fn count_answer(&self, answer: &QueryAnswer, definition: &ServiceDefinition, arrived: Moment) {
        let service = definition.service.as_str();
        let outcome = outcome_label(answer.outcome);
        let elapsed = self.clock.now().since(arrived).as_secs_f64();
        let metrics = self.metrics();
        metrics.queries.with_label_values(&[service, outcome]).inc();
        metrics
            .query_seconds
            .with_label_values(&[service])
            .observe(elapsed);
    }
}

fn query_service(path: &str) -> Option<&str> {
    let service = path
        .strip_prefix(QUERY_PATH_PREFIX)?
        .strip_suffix(QUERY_PATH_SUFFIX)?;
    (!service.is_empty() && !service.contains('/')).then_some(service)
}

fn require_method(
    request: &Request<Incoming>,
    method: Method,
    allowed: &'static str,
) -> Result<(), ApiError> {
    if request.method() == method {
        return Ok(());
    }
    Err(ApiError::MethodNotAllowed {
        path: request.uri().path().to_owned(),
        allowed,
    })
}

fn internal_error(cause: impl std::fmt::Display) -> ApiError {
    ApiError::Internal {
        cause: cause.to_string(),
    }
}

fn json_response(
    status: StatusCode,
    body: &impl Serialize,
) -> Result<Response<Full<Bytes>>, ApiError> {
    let rendered = serde_json::to_string(body).map_err(internal_error)?;
    text_response(status, "application/json", rendered)
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Result<Response<Full<Bytes>>, ApiError> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(Bytes::from(body)))
        .map_err(internal_error)
}
