"""Settings contacts.

Records when this daemon last heard of settings, and by which way.
"""

import enum

import attrs

from laburnumscale.deadlines import MS_PER_S, now_s

__all__ = ["SettingsContact", "SettingsContacts"]


class SettingsContact(enum.Enum):
    """A way by which a daemon hears of settings."""

    LOG_READ = "log_read"
    FETCH = "fetch"
    PUSH = "push"
    PUSH_REPLY = "push_reply"
    DATAGRAM = "datagram"
    CONFIRMATION = "confirmation"


#: Contacts that show that a peer has settings.
PEER_CONTACTS = frozenset(SettingsContact) - {
    SettingsContact.LOG_READ,
    SettingsContact.DATAGRAM,
}


@attrs.define
class SettingsContacts:
    """The times of the last contacts, by way.

    The clock keeps running while the host is suspended, so that a daemon that resumes
    does not take its last contact for a recent one.
    """

    _at_s: dict[SettingsContact, float] = attrs.field(factory=dict)

    def record(self, contact: SettingsContact) -> None:
        """Record a contact that takes place now."""
        self._at_s[contact] = now_s()

    def age_s(self) -> float:
        """Return the seconds since the last contact with the log or a peer."""
        return self._age_s(PEER_CONTACTS | {SettingsContact.LOG_READ})

    def peer_age_s(self) -> float:
        """Return the seconds since the last contact with a peer that has settings."""
        return self._age_s(PEER_CONTACTS)

    def confirmation_age_s(self) -> float:
        """Return the seconds since a reader replied to a confirmation request."""
        return self._age_s(frozenset((SettingsContact.CONFIRMATION,)))

    def ages_ms(self) -> dict[str, int]:
        """Return the age of the last contact of each way, in milliseconds."""
        current_s = now_s()
        return {
            contact.value: round((current_s - at_s) * MS_PER_S)
            for contact, at_s in self._at_s.items()
        }

    def _age_s(self, contacts: frozenset[SettingsContact]) -> float:
        """Return the seconds since the last of some contacts, or since the boot."""
        latest_s = max((self._at_s.get(each, 0.0) for each in contacts), default=0.0)
        return now_s() - latest_s
