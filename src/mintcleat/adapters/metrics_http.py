"""The metrics endpoint of processes without a callers' interface."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from mintcleat.adapters import metrics as metrics_module
from mintcleat.adapters import problems
from mintcleat.domain import errors


class MetricsApp:
    """A WSGI application that serves /metrics.

    Attributes:
        refresh: Updates the gauges; called for each request.
    """

    def __init__(
        self,
        metrics: metrics_module.PrometheusMetrics,
        refresh: Callable[[], None],
    ) -> None:
        self.metrics = metrics
        self.refresh = refresh

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handles a request."""
        if environ["PATH_INFO"] != "/metrics":
            error = errors.BadRequest("Only the path /metrics exists here.")
            start(problems.status_line(error.status), problems.headers(error))
            return [problems.body(error, "")]
        self.refresh()
        body, content_type = self.metrics.render()
        start("200 OK", [("Content-Type", content_type)])
        return [body]
