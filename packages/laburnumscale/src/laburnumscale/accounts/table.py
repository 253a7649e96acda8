"""Account table.

Finds client accounts by the digests of their keys and by name.
"""

from collections.abc import Iterable, Iterator, Mapping

from laburnumscale.encodednames import encode_name
from laburnumscale.places import AccountPlace
from laburnumscale_schema import settings_pb2

__all__ = ["AccountTable", "account_place", "is_account_place"]

ACCOUNT_PREFIX = "account:"

Places = Mapping[str, settings_pb2.PlaceState]


def account_place(name: str) -> AccountPlace:
    """Return the place of the account with a name."""
    return AccountPlace(encode_name(name))


def is_account_place(place: str) -> bool:
    """Return whether the text form of a place is that of an account."""
    return place.startswith(ACCOUNT_PREFIX)


class AccountTable:
    """Index of the accounts in a settings tree.

    The states of the places are those of the tree, so an account needs little memory
    of its own here.

    :ivar count: number of accounts.
    """

    def __init__(self) -> None:
        self.count = 0
        self._places: Places = {}
        #: Places of the accounts that name a key: the text of one, or several.
        self._owners: dict[bytes, str | tuple[str, ...]] = {}
        self._shared_digests: set[bytes] = set()

    def find(self, digest: bytes) -> settings_pb2.ClientAccount | None:
        """Return the account that a key identifies, or None.

        A key that several accounts name identifies none of them.
        """
        owner = self._owners.get(digest)
        return self._places[owner].account if isinstance(owner, str) else None

    def get(self, name: str) -> settings_pb2.ClientAccount | None:
        """Return the account with a name, or None."""
        state = self._places.get(str(account_place(name)))
        return state.account if state is not None else None

    def __iter__(self) -> Iterator[settings_pb2.ClientAccount]:
        """Iterate over all accounts."""
        for place, state in self._places.items():
            if is_account_place(place):
                yield state.account

    @property
    def shared_key_count(self) -> int:
        """Return the number of keys that several accounts name."""
        return len(self._shared_digests)

    def shared_keys(self) -> Iterator[list[str]]:
        """Yield the names of the accounts for each key that several of them name."""
        for digest in self._shared_digests:
            yield sorted(
                self._places[each].account.name for each in self._owners[digest]
            )

    def replace(self, places: Places) -> None:
        """Replace all places; only accounts that differ are indexed again."""
        before, self._places = self._places, places
        for place, state in before.items():
            if is_account_place(place) and place not in places:
                self._remove(place, state.account.key_digests)
                self.count -= 1
        for place, state in places.items():
            if not is_account_place(place):
                continue
            known = before.get(place)
            if known is None:
                self.count += 1
                self._add(place, state.account.key_digests)
            elif known.account.key_digests != state.account.key_digests:
                self._remove(place, known.account.key_digests)
                self._add(place, state.account.key_digests)

    def record_edit(self, place: str, before: settings_pb2.PlaceState | None) -> None:
        """Record that the tree has changed one place.

        :param before: previous state of the place, or None.
        """
        if not is_account_place(place):
            return
        if before is not None:
            self.count -= 1
            self._remove(place, before.account.key_digests)
        after = self._places.get(place)
        if after is not None:
            self.count += 1
            self._add(place, after.account.key_digests)

    def _add(self, place: str, digests: Iterable[bytes]) -> None:
        for digest in digests:
            owner = self._owners.get(digest)
            if owner is None:
                self._owners[digest] = place
                continue
            owners = (owner,) if isinstance(owner, str) else owner
            if place not in owners:
                self._owners[digest] = (*owners, place)
                self._shared_digests.add(digest)

    def _remove(self, place: str, digests: Iterable[bytes]) -> None:
        for digest in digests:
            owner = self._owners.get(digest)
            if owner == place:
                del self._owners[digest]
            elif isinstance(owner, tuple):
                left = tuple(each for each in owner if each != place)
                if len(left) == 1:
                    self._owners[digest] = left[0]
                    self._shared_digests.discard(digest)
                else:
                    self._owners[digest] = left
