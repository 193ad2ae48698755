"""The start, signal handling and exit of the limiter's process.

The command line calls `serve`. It builds the parts (`service.Service`), takes over the signals that
`early_signals` has recorded since the start of the program, runs the scheduler, and returns when
`graceful_shutdown` has stopped the scheduler.

| signal | effect |
| --- | --- |
| SIGTERM, SIGINT | graceful shutdown, see `graceful_shutdown` |
| SIGHUP | the configuration is reloaded, see `settings_reload` |
| SIGUSR1 | the counters are printed to standard error |
"""

from __future__ import annotations

import logging
import signal
import socket
import sys
from collections.abc import Callable

from hazelhollow import early_signals
from hazelhollow.net.attachment import Attachment
from hazelhollow.net.gc_pauses import shorten_collector_pauses
from hazelhollow.net.scheduler import READABLE, Clock, Scheduler
from hazelhollow.net.service import Service
from hazelhollow.platform_config import PlatformConfig

MAX_SIGNALS_PER_READ = 64

log = logging.getLogger(__name__)


def serve(
    config: PlatformConfig,
    reread: Callable[[], PlatformConfig],
    attachment: Attachment | None = None,
    counters_interval: float | None = None,
) -> None:
    """Serves until the graceful shutdown after SIGTERM or SIGINT is complete.

    Args:
        config: The platform's configuration at the start.
        reread: Reads the configuration again, for SIGHUP; raises PlatformConfigError.
        attachment: The subsystems that an operator file enables.
        counters_interval: Seconds between prints of the counters. They are printed when the clock
            is at a multiple of it, so that the lines of several limiters can be matched by time.
            With None they are printed only on SIGUSR1 and at the end.

    Raises:
        OSError: A configured listening address cannot be bound.
    """
    scheduler = Scheduler(Clock())
    service = Service(config, scheduler, attachment)
    signal_numbers, wakeup = socket.socketpair()
    for end in (signal_numbers, wakeup):
        end.setblocking(False)
    signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    for number in early_signals.NUMBERS:
        signal.signal(number, lambda *_: None)  # the wakeup descriptor delivers the number
    # Signals received before this point. One that arrives between the handover and this line is
    # handled twice, which is harmless.
    wakeup.send(early_signals.drain_received())
    scheduler.spawn_supervised(lambda: watch_signals(service, signal_numbers, reread), "signals")
    service.start()
    if counters_interval:
        print_counters_every(service, counters_interval)
    log.info("%s listens at %s:%d", config.name, *service.frontend.address)
    shorten_collector_pauses()
    scheduler.run()
    _print_counters(service)


def watch_signals(
    service: Service, signal_numbers: socket.socket, reread: Callable[[], PlatformConfig]
) -> None:
    """Handles the signals whose numbers arrive as bytes on a socket; never returns."""
    while True:
        service.scheduler.wait(signal_numbers.fileno(), READABLE)
        for number in signal_numbers.recv(MAX_SIGNALS_PER_READ):
            # Each signal has its own task: if handling one fails, the others still take effect.
            service.scheduler.spawn(_handle_signal, number, service, reread, name="signal")


def _handle_signal(number: int, service: Service, reread: Callable[[], PlatformConfig]) -> None:
    if number == signal.SIGUSR1:
        _print_counters(service)
    elif number == signal.SIGHUP:
        service.settings_reload.reload(reread)
    else:
        service.shutdown.begin()


def print_counters_every(service: Service, seconds: float) -> None:
    """Starts a task that prints the counters at each multiple of `seconds` of the clock."""

    def run() -> None:
        clock = service.scheduler.clock
        while True:
            service.scheduler.wait(until=(clock() // seconds + 1) * seconds)
            service.stats.at = round(clock(), 3)
            _print_counters(service)

    service.scheduler.spawn_supervised(run, "counters")


def _print_counters(service: Service) -> None:
    print(service.stats.to_json(), file=sys.stderr, flush=True)
