"""Adapts a limiter's service to the interface of the configuration package."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from hazelhollow.net.service import Service


class ServiceLimiter:
    """Implements `configuration.state.ConfigurableLimiter` for a running service."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def settings_document(self) -> Mapping[str, Any]:
        """Returns the settings document in force."""
        return self._service.settings_reload.document

    def check_settings(self, document: Mapping[str, Any]) -> str:
        """Returns why the service cannot use a settings document; empty if it can."""
        return self._service.settings_reload.check(document)

    def apply_settings(self, document: Mapping[str, Any]) -> str:
        """Applies a settings document; returns why it cannot be used, or empty if it is applied."""
        return self._service.settings_reload.apply(document)

    def endpoint_list(self) -> tuple[int, str]:
        """Returns the version of the endpoint list and the address of its discovery agent."""
        host, port = self._service.discovery_watch.address
        return self._service.endpoint_list.version, f"{host}:{port}"

    def disabled_hosts(self) -> set[str]:
        """Returns the endpoints that operators have disabled."""
        return self._service.overrides.disabled

    def request_counts(self) -> dict[str, int]:
        """Returns the numbers of requests since the start, by outcome."""
        stats = self._service.stats
        return {
            "requests": stats.requests,
            "served": stats.served,
            "refused": stats.refused,
            "failed": stats.failed,
        }

    def drain_attempts(self) -> Counter[str]:
        """Returns the attempts by endpoint since the last call, and resets them."""
        driver = self._service.engine_driver
        attempts, driver.attempts_by_endpoint = driver.attempts_by_endpoint, Counter()
        return attempts or Counter()

    def drain_samples(self) -> list[str]:
        """Returns the ids of the requests sampled since the last call, and resets them."""
        driver = self._service.engine_driver
        samples, driver.sampled_ids = driver.sampled_ids, []
        return samples
