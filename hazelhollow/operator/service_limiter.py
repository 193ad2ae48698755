"""A limiter's service as the configuration package sees it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from hazelhollow.net.service import Service


class ServiceLimiter:
    """Implements `configuration.state.ConfigurableLimiter` by a running service."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def settings_document(self) -> Mapping[str, Any]:
        """The settings document that it acts on."""
        return self._service.settings_reload.document

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """Why it cannot use a settings document; empty if it can."""
        return self._service.settings_reload.check(document)

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Acts on a settings document from now on, unless it cannot: then why."""
        return self._service.settings_reload.apply(document)

    def endpoint_list(self) -> tuple[int, str]:
        """The version of the endpoint list, and the address of discovery that it came from."""
        host, port = self._service.discovery_watch.address
        return self._service.endpoint_list.version, f"{host}:{port}"

    def disabled_hosts(self) -> set[str]:
        """Endpoints that operators have disabled."""
        return self._service.overrides.disabled

    def request_counts(self) -> dict[str, int]:
        """Requests since the start, by what became of them."""
        stats = self._service.stats
        return {
            "requests": stats.requests,
            "served": stats.served,
            "refused": stats.refused,
            "failed": stats.failed,
        }

    def drain_attempts(self) -> Counter[str]:
        """Attempts by endpoint since the last call."""
        driver = self._service.engine_driver
        attempts, driver.attempts_by_endpoint = driver.attempts_by_endpoint, Counter()
        return attempts or Counter()

    def drain_samples(self) -> list[str]:
        """Ids of some requests since the last call."""
        driver = self._service.engine_driver
        samples, driver.sampled_ids = driver.sampled_ids, []
        return samples
