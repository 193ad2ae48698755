"""The limiter's process: its start, its signals, its end.

`serve` is what the command line calls. It builds the parts (`service.Service`), takes over the
signals that `early_signals` has held since the first line of the program, runs the scheduler, and
returns when `graceful_shutdown` has stopped it.

| signal | effect |
| --- | --- |
| SIGTERM, SIGINT | graceful shutdown, see `graceful_shutdown` |
| SIGHUP | the configuration is read again, see `settings_reload` |
| SIGUSR1 | the counters go to standard error |
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
    """Serves until SIGTERM or SIGINT.

    Args:
        config: What the platform gives at the start.
        reread: Reads it again, for SIGHUP; raises PlatformConfigError.
        attachment: What an operator file adds.
        counters_interval: Seconds between prints of the counters, at whole multiples of that on the
            clock, so that the lines of several limiters belong together. None prints them on
            SIGUSR1 and at the end only.

    Raises:
        OSError: An address that the configuration names cannot be listened at.
    """
    scheduler = Scheduler(Clock())
    service = Service(config, scheduler, attachment)
    signal_numbers, wakeup = socket.socketpair()
    for end in (signal_numbers, wakeup):
        end.setblocking(False)
    signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    for number in early_signals.NUMBERS:
        signal.signal(number, lambda *_: None)  # the number comes through the socket pair
    # Those that came before. One that comes in between is acted on twice, which changes nothing.
    wakeup.send(early_signals.take_received())
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
    """Acts on the signals whose numbers come as bytes from a socket, for ever."""
    while True:
        service.scheduler.wait(signal_numbers.fileno(), READABLE)
        for number in signal_numbers.recv(MAX_SIGNALS_PER_READ):
            # Each in a task of its own: where one fails, those that came with it still take effect.
            service.scheduler.spawn(_act_on_signal, number, service, reread, name="signal")


def _act_on_signal(number: int, service: Service, reread: Callable[[], PlatformConfig]) -> None:
    if number == signal.SIGUSR1:
        _print_counters(service)
    elif number == signal.SIGHUP:
        service.settings_reload.reload(reread)
    else:
        service.shutdown.begin()


def print_counters_every(service: Service, seconds: float) -> None:
    """Prints the counters at whole multiples of that time on the clock, for ever."""

    def run() -> None:
        clock = service.scheduler.clock
        while True:
            service.scheduler.wait(until=(clock() // seconds + 1) * seconds)
            service.stats.at = round(clock(), 3)
            _print_counters(service)

    service.scheduler.spawn_supervised(run, "counters")


def _print_counters(service: Service) -> None:
    print(service.stats.to_json(), file=sys.stderr, flush=True)
