"""Confirmation requests.

Decides when this daemon asks which reader of the log whether its settings are the
newest, and answers such requests of other daemons.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Sequence

import attrs

from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.settingscontacts import SettingsContact
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import gossip_pb2

__all__ = ["ConfirmationRequest", "ConfirmationRequests"]

#: A reader replies within a few milliseconds; then the next one is asked.
FIRST_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 400
#: Interval at which a daemon looks for readers while it has no settings or knows none.
IDLE_DELAY_S = 0.2
#: Time for which a reader that did not confirm is asked after the others.
AVOID_MS = 3_000
MAX_PENDING_REQUESTS = 8
US_PER_MS = 1000


@attrs.frozen
class ConfirmationRequest:
    """A request to send to a reader.

    :ivar sequence: number that the reply repeats.
    """

    address: str
    sequence: int


@attrs.define
class ConfirmationRequests:
    """The confirmation requests of one daemon.

    A reader that does not reply in time, or whose own confirmation is no younger, is
    followed by the next one.

    :param sources: returns the addresses of the readers to ask, in order.
    """

    _feed: SettingsFeed
    _sources: Callable[[], Sequence[str]]
    _metrics: Metrics
    _sequences: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _sent_at_s: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    _asked: list[str] = attrs.field(factory=list)
    _avoided: dict[str, Deadline] = attrs.field(factory=dict)
    _retry_delay_ms: float = FIRST_RETRY_DELAY_MS
    _next_retry: Deadline = Deadline(0.0)
    _was_valid: bool = True

    def delay_s(self) -> float:
        """Return the seconds until the next request may be due."""
        self._log_validity()
        if not self._feed.has_tree:
            return IDLE_DELAY_S
        due_at_s = self._feed.confirmation.request_due_at_s()
        return max(due_at_s, self._next_retry.at_s) - now_s()

    def next_request(self) -> ConfirmationRequest | None:
        """Return the request to send now; None if none is due or no reader is known."""
        if self.delay_s() > 0:
            return None
        address = self._choose_source()
        self._next_retry = Deadline.after_ms(self._retry_delay_ms)
        self._retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2 * self._retry_delay_ms)
        if not address:
            return None
        sequence = next(self._sequences)
        self._sent_at_s[sequence] = now_s()
        if len(self._sent_at_s) > MAX_PENDING_REQUESTS:
            self._sent_at_s.popitem(last=False)
        self._metrics.count("settings_confirmation_requests")
        return ConfirmationRequest(address, sequence)

    def handle_request(self, request: gossip_pb2.Datagram) -> gossip_pb2.Datagram:
        """Return the reply to the request of another daemon."""
        reply = gossip_pb2.Datagram(
            kind=gossip_pb2.DATAGRAM_KIND_CONFIRMATION, sequence=request.sequence
        )
        age_ms = self._feed.confirmation.rounded_age_ms()
        if age_ms is not None:
            reply.confirmed_age_ms = age_ms
        return reply

    def handle_reply(self, reply: gossip_pb2.Datagram) -> None:
        """Record what a reader has replied; unknown and late replies are ignored."""
        sent_at_s = self._sent_at_s.pop(reply.sequence, None)
        if sent_at_s is None or not reply.HasField("confirmed_age_ms"):
            self._metrics.count("settings_confirmations_ignored")
            return
        feed = self._feed
        feed.contacts.record(SettingsContact.CONFIRMATION)
        previous_age_ms = feed.confirmation.age_ms()
        confirmed_at_s = sent_at_s - reply.confirmed_age_ms / MS_PER_S
        feed.offer_confirmation(reply.settings_revision, confirmed_at_s)
        if feed.confirmation.request_due_at_s() <= now_s():
            return
        self._avoided.pop(reply.sender_address, None)
        self._asked.clear()
        self._retry_delay_ms = FIRST_RETRY_DELAY_MS
        self._next_retry = Deadline(0.0)
        if previous_age_ms is not None:
            self._metrics.record_us("settings_unconfirmed", previous_age_ms * US_PER_MS)

    def _choose_source(self) -> str:
        sources = self._sources()
        self._avoided = {
            address: deadline
            for address, deadline in self._avoided.items()
            if address in sources and not deadline.has_passed()
        }
        if self._asked:
            self._avoided[self._asked[-1]] = Deadline.after_ms(AVOID_MS)
        if set(self._asked) >= set(sources):
            self._asked.clear()
        remaining = [each for each in sources if each not in self._asked]
        remaining.sort(key=lambda address: address in self._avoided)
        if not remaining:
            return ""
        self._asked.append(remaining[0])
        return remaining[0]

    def _log_validity(self) -> None:
        """Log when the settings begin or end to be too old for final decisions."""
        is_valid = self._feed.confirmation.is_valid()
        if is_valid == self._was_valid or not self._feed.has_tree:
            return
        self._was_valid = is_valid
        event = "settings confirmed again" if is_valid else "settings unconfirmed"
        get_logger().info(event, **self._feed.describe_age())
